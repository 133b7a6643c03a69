// Sending, resuming, judging and listing of items; see batch_board.h.
#include "batch_board.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusMisdirected = 421;
    constexpr int statusNeverDone = 422;
    constexpr int statusServerError = 500;
    constexpr std::size_t mostPromptBlocks = 256;

    std::uint32_t numberIn(const label_map& labels, const std::string& name)
    {
        const auto found = labels.find(name);
        return found == labels.end() ? 0 : static_cast<std::uint32_t>(std::strtoul(found->second.c_str(), nullptr, 10));
    }

    std::string joined(const std::vector<std::string>& lines)
    {
        std::string out;
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (i > 0)
                out += '\n';
            out += lines[i];
        }
        return out;
    }

    bool contains(const std::vector<weight_version>& versions, weight_version wanted)
    {
        return std::find(versions.begin(), versions.end(), wanted) != versions.end();
    }

} // namespace

std::vector<block_hash> hashParts(const model_id& model, const std::vector<prompt_part>& parts)
{
    std::vector<block_hash> out;
    std::uint64_t hash = XXH64(model.str().data(), model.str().size(), 0);
    for (const auto& part : parts) {
        hash = XXH64(part.id.data(), part.id.size(), hash);
        const auto blocks = std::max<std::uint64_t>(part.tokens / prefixBlockTokens, 1);
        for (std::uint64_t i = 0; i < blocks && out.size() < mostPromptBlocks; ++i)
            out.emplace_back(XXH64(&i, sizeof i, hash));
    }
    return out;
}

batch_board::batch_board(board_settings settings, router& targets)
    : m_settings(settings)
    , m_router(targets)
    , m_lastAttempt(firstRunNumber)
{
}

batch_board::batch_state* batch_board::find(const batch_id& id)
{
    const auto found = m_batches.find(id);
    return found == m_batches.end() ? nullptr : &found->second;
}

const batch_board::batch_state* batch_board::find(const batch_id& id) const
{
    const auto found = m_batches.find(id);
    return found == m_batches.end() ? nullptr : &found->second;
}

bool batch_board::ended(const batch_id& id) const
{
    const auto* batch = find(id);
    return batch != nullptr && batch->ended;
}

const batch_spec* batch_board::spec(const batch_id& id) const
{
    const auto* batch = find(id);
    return batch == nullptr ? nullptr : &batch->spec;
}

const std::vector<batch_result>& batch_board::listed(const batch_id& id) const
{
    static const std::vector<batch_result> none;
    const auto* batch = find(id);
    return batch == nullptr ? none : batch->listed;
}

bool batch_board::writing(const batch_id& id) const
{
    const auto* batch = find(id);
    return batch != nullptr && batch->writing;
}

std::uint32_t batch_board::pages(const batch_id& id) const
{
    const auto* batch = find(id);
    return batch == nullptr ? 0 : batch->pages;
}

const batch_item* batch_board::unlistedItem(const batch_id& id, const item_id& item) const
{
    const auto* batch = find(id);
    if (batch == nullptr)
        return nullptr;
    for (std::size_t i = 0; i < batch->items.size(); ++i) {
        if (batch->spec.items[i].id == item && batch->items[i].at != phase::Listed)
            return &batch->spec.items[i];
    }
    return nullptr;
}

std::vector<batch_id> batch_board::all() const
{
    std::vector<batch_id> out;
    for (const auto& [id, batch] : m_batches)
        out.push_back(id);
    return out;
}

// --- Batches -----------------------------------------------------------------

void batch_board::add(batch_spec spec, const site_route& route, double tokensPerEvent, std::vector<batch_result> listed, std::uint32_t pages, instant now, wall_time wall)
{
    if (m_batches.contains(spec.id))
        return;
    const auto id = spec.id;
    auto& batch = m_batches[id];
    batch.spec = std::move(spec);
    batch.route = route;
    batch.tokensPerEvent = tokensPerEvent;
    const auto age = std::max(std::chrono::duration_cast<duration>(wall - batch.spec.submitted), duration {});
    batch.due = now - age + route.resultsDue;
    batch.itemsEnd = now - age + route.itemLife;
    batch.items.resize(batch.spec.items.size());
    batch.pages = pages;

    // Step 1. What stands in the store is listed already.
    std::map<item_id, std::size_t> byId;
    for (std::size_t i = 0; i < batch.spec.items.size(); ++i)
        byId[batch.spec.items[i].id] = i;
    for (const auto& result : listed) {
        if (const auto known = byId.find(result.item); known != byId.end())
            batch.items[known->second].at = phase::Listed;
    }
    batch.listed = std::move(listed);

    // Step 2. What an earlier batch made of these items.
    takeCarried(batch);
    defineTargets(batch);
    arrange(batch);
    batch.wholeGroups = static_cast<std::size_t>(std::count_if(batch.groups.begin(), batch.groups.end(), [&batch](const auto& group) {
        return std::all_of(group.second.begin(), group.second.end(), [&batch](std::size_t i) { return batch.items[i].at == phase::Listed; });
    }));
}

// Replicas of the route's services whose weights may generate for this batch.
void batch_board::defineTargets(const batch_state& state)
{
    auto& batch = m_batches.at(state.spec.id);
    std::string services;
    std::set<pool_id> pools;
    for (const auto& one : batch.route.services) {
        pools.insert(pool_id(one.service.str()));
        services += " " + one.service.str();
    }
    const auto least = batch.spec.leastVersion.value();
    const auto label = "version:" + batch.spec.model.str();
    batch.targets = routing_class_id("items" + services + " " + batch.spec.model.str() + " from " + std::to_string(least));
    if (m_router.table().hasClass(batch.targets))
        return;
    m_router.setClass(batch.targets, [pools, label, least](const target_record& record) {
        return pools.contains(record.listed.pool) && numberIn(record.listed.labels, label) >= least;
    });
}

void batch_board::dropTargets(const routing_class_id& name)
{
    const bool used = std::any_of(m_batches.begin(), m_batches.end(), [&name](const auto& entry) { return !entry.second.ended && entry.second.targets == name; });
    if (!used)
        m_router.removeClass(name);
}

// Whole groups side by side, those that were begun in an earlier batch first, then
// those with the longest expected work.
void batch_board::arrange(batch_state& batch) const
{
    struct group_rank {
        bool begun = false;
        std::uint64_t longest = 0;
        std::size_t first = 0;
        const std::vector<std::size_t>* members = nullptr;
    };
    const auto expected = [&batch](std::size_t i) { return batch.spec.items[i].expectedTokens.count(); };
    for (std::size_t i = 0; i < batch.items.size(); ++i)
        batch.groups[batch.spec.items[i].group].push_back(i);
    std::vector<group_rank> ranks;
    for (auto& [name, members] : batch.groups) {
        std::sort(members.begin(), members.end(), [&](std::size_t a, std::size_t b) { return std::pair(expected(b), a) < std::pair(expected(a), b); });
        group_rank rank { false, expected(members.front()), *std::min_element(members.begin(), members.end()), &members };
        for (const auto i : members)
            rank.begun = rank.begun || !batch.items[i].made.data.empty() || batch.items[i].at != phase::Waiting;
        ranks.push_back(rank);
    }
    std::sort(ranks.begin(), ranks.end(), [](const group_rank& a, const group_rank& b) {
        return std::tuple(b.begun, b.longest, a.first) < std::tuple(a.begun, a.longest, b.first);
    });
    for (const auto& rank : ranks)
        batch.order.insert(batch.order.end(), rank.members->begin(), rank.members->end());
}

void batch_board::takeCarried(batch_state& batch)
{
    for (std::size_t i = 0; i < batch.items.size(); ++i) {
        const auto kept = m_carried.find(batch.spec.items[i].id);
        if (kept == m_carried.end() || batch.items[i].at != phase::Waiting)
            continue;
        const auto& versions = kept->second.made.versions;
        const bool fits = !versions.empty() && *std::min_element(versions.begin(), versions.end()) >= batch.spec.leastVersion
            && (!batch.route.singleVersion || versions.size() == 1);
        if (fits) {
            auto& item = batch.items[i];
            item.made = kept->second.made;
            if (item.made.whole)
                item.at = phase::ToJudge;
            ++m_counts.reused;
        }
        m_carried.erase(kept);
    }
}

void batch_board::keepCarried(const batch_state& batch, instant now)
{
    std::erase_if(m_carried, [now](const auto& entry) { return now >= entry.second.until; });
    for (std::size_t i = 0; i < batch.items.size(); ++i) {
        if (batch.items[i].at == phase::Listed || batch.items[i].made.data.empty() || m_carried.size() >= m_settings.mostCarried)
            continue;
        m_carried[batch.spec.items[i].id] = { batch.items[i].made, now + m_settings.carried };
    }
}

void batch_board::stopRuns(const batch_id& id, instant now)
{
    std::vector<attempt_id> attempts;
    for (const auto& [attempt, run] : m_runs) {
        if (run.batch == id)
            attempts.push_back(attempt);
    }
    for (const auto attempt : attempts) {
        m_actions.emplace_back(cancel_run { attempt });
        endRun(attempt, attempt_outcome::Refused, now);
    }
}

void batch_board::hold(const batch_id& id)
{
    if (auto* batch = find(id))
        batch->held = true;
}

void batch_board::accept(const batch_id& id)
{
    if (auto* batch = find(id))
        batch->held = false;
}

std::vector<board_action> batch_board::end(const batch_id& id, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr || batch->ended)
        return {};
    stopRuns(id, now);
    keepCarried(*batch, now);
    batch->ended = true;
    dropTargets(batch->targets);
    return take();
}

std::vector<board_action> batch_board::drop(const batch_id& id, instant now)
{
    const auto found = m_batches.find(id);
    if (found == m_batches.end())
        return {};
    stopRuns(id, now);
    const auto targets = found->second.targets;
    m_batches.erase(found);
    dropTargets(targets);
    return take();
}

std::vector<model_demand> batch_board::demand() const
{
    std::map<std::pair<service_id, model_id>, model_demand> byModel;
    for (const auto& [id, batch] : m_batches) {
        if (batch.ended)
            continue;
        const auto& service = batch.route.services.front().service;
        auto& one = byModel[{ service, batch.spec.model }];
        one.service = service;
        one.model = batch.spec.model;
        one.least = std::max(one.least, batch.spec.leastVersion);
        one.items += static_cast<std::size_t>(std::count_if(batch.items.begin(), batch.items.end(), [](const item_state& item) { return item.at <= phase::Running; }));
    }
    std::vector<model_demand> out;
    out.reserve(byModel.size());
    for (auto& [key, one] : byModel)
        out.push_back(std::move(one));
    return out;
}

made_texts batch_board::release(const batch_id& id, std::vector<board_action>& actions, instant now)
{
    made_texts out;
    auto* batch = find(id);
    if (batch == nullptr)
        return out;
    for (std::size_t i = 0; i < batch->items.size(); ++i) {
        const auto& item = batch->items[i];
        if (item.at != phase::Listed && !item.made.data.empty())
            out[batch->spec.items[i].id] = item.made;
    }
    actions = drop(id, now);
    return out;
}

void batch_board::carry(const made_texts& texts, instant now)
{
    for (const auto& [item, made] : texts) {
        if (m_carried.size() < m_settings.mostCarried)
            m_carried[item] = { made, now + m_settings.carried };
    }
}

// --- Runs --------------------------------------------------------------------

// Replicas that already have as many requests as they run at once, or have just said so.
std::vector<target_id> batch_board::fullTargets(batch_state& batch, instant now) const
{
    std::vector<target_id> out;
    std::erase_if(batch.closed, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [target, until] : batch.closed)
        out.push_back(target);
    for (const auto slot : m_router.table().allowed(batch.targets)) {
        const auto& record = m_router.table().record(slot);
        const auto stated = numberIn(record.listed.labels, "slots");
        const auto slots = stated == 0 ? m_settings.slotsUnknown : stated;
        const auto load = m_router.load().view(slot, now);
        if (load.ownRequests + load.otherRequests >= slots)
            out.push_back(record.listed.id);
    }
    return out;
}

void batch_board::dispatch(batch_state& batch, instant now)
{
    if (batch.ended)
        return;
    auto full = fullTargets(batch, now);
    for (const auto index : batch.order) {
        auto& item = batch.items[index];
        if (item.at != phase::Waiting || now < item.notBefore)
            continue;
        if (now >= batch.itemsEnd) {
            finishItem(batch, index, false, {}, now);
            continue;
        }
        if (!send(batch, index, full, now))
            return; // no room; later items would only take what earlier ones wait for
        full = fullTargets(batch, now);
    }
}

bool batch_board::send(batch_state& batch, std::size_t index, const std::vector<target_id>& full, instant now)
{
    const auto& spec = batch.spec.items[index];
    auto& item = batch.items[index];

    // Step 1. Where to.
    route_request asked;
    asked.routingClass = batch.targets;
    asked.account = batch.spec.account;
    asked.run = run_id(batch.spec.model.str());
    asked.promptBlocks = hashParts(batch.spec.model, spec.prompt);
    asked.promptTokens = spec.promptTokens;
    asked.expectedTokens = spec.expectedTokens;
    asked.idempotent = asked.resumable = asked.returnable = true;
    asked.excluded = full;
    std::erase_if(item.avoid, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [target, until] : item.avoid)
        asked.excluded.push_back(target);
    asked.seed = XXH64(spec.id.str().data(), spec.id.str().size(), m_lastAttempt);
    const auto others = asked.excluded.size();
    if (const auto best = fastestFree(batch, item, full, now)) {
        for (const auto& [target, pace] : m_paces) {
            if (now - pace.at < m_settings.paceMemory && pace.seconds > *best * m_settings.movePace)
                asked.excluded.push_back(target);
        }
    }
    auto decision = m_router.choose(asked, now);
    if (std::holds_alternative<no_route>(decision) && asked.excluded.size() > others) {
        asked.excluded.resize(others); // a slow replica rather than none
        decision = m_router.choose(asked, now);
    }
    const auto* choice = std::get_if<route_choice>(&decision);
    if (choice == nullptr) {
        // An item that merely avoids replicas doesn't hold up the others.
        if (!item.avoid.empty())
            wait(item, m_settings.refusedPause, now);
        return !item.avoid.empty();
    }

    // Step 2. Go on behind what was made, under the same version where one is asked for.
    run_item run;
    run.attempt = attempt_id(++m_lastAttempt);
    run.batch = batch.spec.id;
    run.index = index;
    run.choice = *choice;
    run.deadline = batch.itemsEnd - now;
    if (!item.made.data.empty()) {
        run.lastEventId = item.made.lastEvent;
        if (batch.route.singleVersion)
            run.expectVersion = item.made.versions.front();
        ++m_counts.resumed;
    }
    open_run open;
    open.batch = batch.spec.id;
    open.index = index;
    open.target = choice->target;
    open.resumedFrom = item.made.data.size();
    open.sentAt = open.lastHeard = now;
    m_runs[run.attempt] = open;
    item.at = phase::Running;
    item.attempt = run.attempt;
    m_router.started(run.attempt, *choice, asked, now);
    ++m_counts.runs;
    m_actions.emplace_back(std::move(run));
    return true;
}

// The item goes back to waiting; what was made of it stays.
void batch_board::endRun(attempt_id attempt, attempt_outcome outcome, instant now)
{
    const auto found = m_runs.find(attempt);
    assert(found != m_runs.end());
    const auto run = found->second;
    m_runs.erase(found);
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    const auto made = item.made.data.size() - std::min(item.made.data.size(), run.resumedFrom);
    m_router.ended(attempt, { outcome, token_count(static_cast<std::uint64_t>(static_cast<double>(made) * batch.tokensPerEvent)), std::nullopt }, now);
    item.attempt.reset();
    item.at = phase::Waiting;
}

void batch_board::wait(item_state& item, duration pause, instant now) { item.notBefore = now + pause; }

std::vector<board_action> batch_board::head(attempt_id attempt, const item_head& head, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return {};
    auto& run = found->second;
    run.head = head;
    run.headSeen = true;
    run.lastHeard = now;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    if (head.status != statusOk || head.notRun)
        return take(); // its end says what to do
    m_router.firstToken(attempt, now);

    // A stream of another item, or of weights that may not generate for this batch, is of
    // no use. One that goes on behind the last event has no version to state.
    const bool resumed = !item.made.data.empty();
    const bool oldWeights = head.version ? *head.version < batch.spec.leastVersion : !resumed;
    const bool otherWeights = batch.route.singleVersion && resumed && head.version && *head.version != item.made.versions.front();
    if (head.echoes && !oldWeights && !otherWeights) {
        run.accepted = true;
        run.version = head.version.value_or(weight_version());
        return take();
    }
    ++m_counts.wrongVersion;
    item.avoid[run.target] = now + m_settings.avoidWrong;
    m_actions.emplace_back(cancel_run { attempt });
    endRun(attempt, attempt_outcome::Refused, now);
    return take();
}

std::vector<board_action> batch_board::events(attempt_id attempt, const std::vector<batch_event>& events, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end() || !found->second.accepted)
        return {};
    auto& run = found->second;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];
    notePace(run, events.size(), now);
    run.lastHeard = now;
    for (const auto& event : events) {
        if (event.version)
            run.version = *event.version;
        // Step 1. Nothing twice, nothing missing, no second version where one is asked for.
        const bool first = item.made.data.empty();
        if (!first && event.id <= item.made.lastEvent)
            continue;
        const bool gap = !first && event.id != item.made.lastEvent + 1;
        const bool mixed = batch.route.singleVersion && !first && run.version != item.made.versions.front();
        const bool unnamed = run.version == weight_version(); // nothing says which weights made it
        if (gap || mixed || unnamed) {
            if (mixed)
                item.made = {}; // it starts over under one version
            m_actions.emplace_back(cancel_run { attempt });
            endRun(attempt, attempt_outcome::Failure, now);
            ++m_counts.broken;
            return take();
        }

        // Step 2. Keep it, with the version that made it.
        item.made.data.push_back(event.data);
        item.made.lastEvent = event.id;
        if (!contains(item.made.versions, run.version))
            item.made.versions.push_back(run.version);
    }
    return take();
}

std::vector<board_action> batch_board::done(attempt_id attempt, bool whole, bool sent, instant now)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return {};
    const auto run = found->second;
    auto& batch = m_batches.at(run.batch);
    auto& item = batch.items[run.index];

    if (!whole || !run.headSeen || !run.head.echoes) {
        // Step 1. Broken off: it goes on elsewhere.
        ++m_counts.broken;
        endRun(attempt, attempt_outcome::Reset, now);
        item.avoid[run.target] = now + (sent ? m_settings.avoidBusy : m_settings.avoidWrong);
    } else if (run.accepted && !item.made.data.empty()) {
        // Step 2. The whole text.
        endRun(attempt, attempt_outcome::Success, now);
        finishText(batch, run.index, now);
    } else if (run.head.notRun) {
        // Step 3. Not run: the replica is full, loads weights or is another one.
        ++m_counts.refused;
        endRun(attempt, attempt_outcome::Refused, now);
        batch.closed[run.target] = now + (run.head.status == statusMisdirected ? m_settings.avoidWrong : m_settings.closedBusy);
    } else {
        // Step 4. The replica failed it.
        endRun(attempt, attempt_outcome::Failure, now);
        item.avoid[run.target] = now + m_settings.avoidBusy;
        wait(item, m_settings.refusedPause, now);
        item.failures += run.head.status == statusServerError;
        if (run.head.status == statusNeverDone || item.failures >= batch.route.maxAttempts)
            finishItem(batch, run.index, false, {}, now);
    }
    return take();
}

void batch_board::finishText(batch_state& batch, std::size_t index, instant now)
{
    auto& item = batch.items[index];
    item.made.whole = true;
    if (!batch.spec.items[index].judge) {
        finishItem(batch, index, true, {}, now);
        return;
    }
    item.at = phase::Judging;
    m_actions.emplace_back(judge_item { batch.spec.id, index });
}

void batch_board::finishItem(batch_state& batch, std::size_t index, bool completed, std::string score, instant now)
{
    auto& item = batch.items[index];
    item.at = phase::Finished;
    item.finishedAt = now;
    item.result.item = batch.spec.items[index].id;
    item.result.completed = completed;
    if (completed) {
        item.result.text = joined(item.made.data);
        item.result.versions = item.made.versions;
        item.result.score = std::move(score);
    }
    ++(completed ? m_counts.completed : m_counts.abandoned);

    const auto& members = batch.groups[batch.spec.items[index].group];
    const bool wholeGroup = std::all_of(members.begin(), members.end(), [&batch](std::size_t i) { return batch.items[i].at >= phase::Finished; });
    if (wholeGroup)
        groupFinished(batch, now);
}

// The step is complete for its trainer with the wanted number of groups; those before
// are of no use to it yet, so they share pages.
void batch_board::groupFinished(batch_state& batch, instant now)
{
    ++batch.wholeGroups;
    const bool enough = batch.wholeGroups >= batch.spec.wantedGroups;
    const bool nearDue = now + m_settings.gatherUntilDue >= batch.due;
    const auto due = now + (enough || nearDue ? m_settings.gather : m_settings.gatherEarly);
    batch.pageDue = batch.pageDue ? std::min(*batch.pageDue, due) : due;
}

std::vector<board_action> batch_board::judged(const batch_id& id, std::size_t index, judge_outcome outcome, const std::string& score, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr || batch->ended || batch->items[index].at != phase::Judging)
        return {};
    if (outcome == judge_outcome::NotNow) {
        batch->items[index].at = phase::ToJudge;
        wait(batch->items[index], m_settings.judgePause, now);
    } else
        finishItem(*batch, index, outcome == judge_outcome::Scored, score, now);
    return take();
}

// --- Pages -------------------------------------------------------------------

// One page at a time: a whole group is in it as soon as it is complete.
void batch_board::writeDue(batch_state& batch, instant now)
{
    if (batch.writing || batch.held || batch.ended || now < batch.writeAgain)
        return;
    if (batch.inPage.empty()) {
        // Step 1. Is anything due?
        std::vector<std::size_t> ready;
        bool old = false;
        for (const auto index : batch.order) {
            const auto& item = batch.items[index];
            if (item.at != phase::Finished)
                continue;
            ready.push_back(index);
            old = old || now - item.finishedAt >= m_settings.longestUnlisted;
        }
        if (ready.empty() || !(old || (batch.pageDue && now >= *batch.pageDue)))
            return;

        // Step 2. The results in order of finishing, as many as a page holds.
        std::sort(ready.begin(), ready.end(), [&batch](std::size_t a, std::size_t b) {
            return std::pair(batch.items[a].finishedAt, a) < std::pair(batch.items[b].finishedAt, b);
        });
        std::size_t bytes = 0;
        for (const auto index : ready) {
            bytes += batch.items[index].result.text.size();
            if (!batch.inPage.empty() && bytes > m_settings.pageBytes)
                break;
            batch.inPage.push_back(index);
            batch.items[index].at = phase::Writing;
        }
        batch.pageDue.reset();
        if (batch.inPage.size() < ready.size())
            batch.pageDue = now;
    }

    // Step 3. A page whose writing failed is written again as it was.
    write_page page { batch.spec.id, batch.pages, {} };
    for (const auto index : batch.inPage)
        page.results.push_back(batch.items[index].result);
    batch.writing = true;
    m_actions.emplace_back(std::move(page));
}

std::vector<board_action> batch_board::pageWritten(const batch_id& id, std::uint32_t page, bool written, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr || !batch->writing || page != batch->pages)
        return {};
    batch->writing = false;
    if (!written) {
        batch->writeAgain = now + m_settings.judgePause;
        return take();
    }
    for (const auto index : batch->inPage) {
        auto& item = batch->items[index];
        item.at = phase::Listed;
        item.made = {};
        batch->listed.push_back(std::move(item.result));
    }
    batch->inPage.clear();
    ++batch->pages;
    writeDue(*batch, now);
    return take();
}

// --- Stragglers --------------------------------------------------------------

duration batch_board::open_run::pace(std::size_t least) const
{
    return events < std::max<std::size_t>(least, 2) ? duration {} : (lastHeard - firstEventAt) / static_cast<std::int64_t>(events - 1);
}

void batch_board::notePace(open_run& run, std::size_t events, instant now)
{
    constexpr double weightOfNewest = 0.2; // of one report in the smoothed pace
    if (run.events == 0)
        run.firstEventAt = now;
    else {
        const double seconds = std::chrono::duration<double>(now - run.lastHeard).count() / static_cast<double>(events);
        auto& pace = m_paces[run.target];
        const bool fresh = now - pace.at < m_settings.paceMemory && pace.seconds > 0;
        pace.seconds = fresh ? pace.seconds + (seconds - pace.seconds) * weightOfNewest : seconds;
        pace.at = now;
    }
    run.events += events;
}

std::optional<double> batch_board::paceOf(const target_id& target, instant now) const
{
    const auto found = m_paces.find(target);
    if (found == m_paces.end() || now - found->second.at >= m_settings.paceMemory)
        return std::nullopt;
    return found->second.seconds;
}

// The pace of the fastest replica that could take this item now.
std::optional<double> batch_board::fastestFree(const batch_state& batch, const item_state& item, const std::vector<target_id>& full, instant now) const
{
    std::optional<double> best;
    for (const auto slot : m_router.table().allowed(batch.targets)) {
        const auto& target = m_router.table().record(slot).listed.id;
        const auto avoided = item.avoid.find(target);
        if (std::find(full.begin(), full.end(), target) != full.end() || (avoided != item.avoid.end() && now < avoided->second))
            continue;
        const auto pace = paceOf(target, now);
        if (pace && (!best || *pace < *best))
            best = pace;
    }
    return best;
}

// A step ends with its slowest item, so one that runs on a replica much slower than
// another with room goes on there, behind its last event. How the sample turns out
// plays no part in it.
void batch_board::moveStragglers(instant now)
{
    std::vector<attempt_id> moving;
    for (const auto& [attempt, run] : m_runs) {
        auto& batch = m_batches.at(run.batch);
        const auto& item = batch.items[run.index];
        const auto pace = std::chrono::duration<double>(run.pace(m_settings.leastEventsForPace)).count();
        if (pace <= 0 || item.moves >= m_settings.mostMoves)
            continue;
        const auto best = fastestFree(batch, item, fullTargets(batch, now), now);
        if (!best || pace < *best * m_settings.movePace)
            continue;
        // What is left is not known: what the caller guesses, and at least a third of
        // what was made.
        constexpr double leastShareLeft = 1.0 / 3;
        const auto made = static_cast<double>(item.made.data.size());
        const auto guessed = static_cast<double>(batch.spec.items[run.index].expectedTokens.count()) / batch.tokensPerEvent;
        const double left = std::max(guessed - made, made * leastShareLeft);
        if (left * (pace - *best) >= std::chrono::duration<double>(m_settings.moveGain).count())
            moving.push_back(attempt);
    }
    for (const auto attempt : moving) {
        const auto run = m_runs.at(attempt);
        auto& batch = m_batches.at(run.batch);
        auto& item = batch.items[run.index];
        // An earlier move of this round may have taken the room.
        if (!fastestFree(batch, item, fullTargets(batch, now), now))
            continue;
        ++m_counts.moved;
        ++item.moves;
        m_actions.emplace_back(cancel_run { attempt });
        endRun(attempt, attempt_outcome::Refused, now);
        item.avoid[run.target] = now + m_settings.paceMemory;
        dispatch(batch, now);
    }
}

// --- Time --------------------------------------------------------------------

void batch_board::endSilentRuns(instant now)
{
    std::vector<attempt_id> silent;
    for (const auto& [attempt, run] : m_runs) {
        const auto& item = m_batches.at(run.batch).items[run.index];
        const bool begun = run.accepted && run.lastHeard != run.sentAt && !item.made.data.empty();
        if (now - run.lastHeard > (begun ? m_settings.eventGap : m_settings.firstEvent))
            silent.push_back(attempt);
    }
    for (const auto attempt : silent) {
        const auto run = m_runs.at(attempt);
        ++m_counts.stalled;
        m_actions.emplace_back(cancel_run { attempt });
        endRun(attempt, attempt_outcome::Timeout, now);
        m_batches.at(run.batch).items[run.index].avoid[run.target] = now + m_settings.avoidWrong;
    }
}

std::vector<board_action> batch_board::tick(instant now)
{
    endSilentRuns(now);
    moveStragglers(now);
    // The batch that is due first is served first.
    std::vector<batch_state*> byDue;
    for (auto& [id, batch] : m_batches) {
        if (!batch.ended)
            byDue.push_back(&batch);
    }
    std::sort(byDue.begin(), byDue.end(), [](const batch_state* a, const batch_state* b) { return a->due < b->due; });
    for (auto* batch : byDue) {
        dispatch(*batch, now);
        for (std::size_t i = 0; i < batch->items.size(); ++i) {
            auto& item = batch->items[i];
            if (item.at == phase::ToJudge && now >= item.notBefore)
                finishText(*batch, i, now);
        }
        writeDue(*batch, now);
    }
    return take();
}

} // namespace lovagerail
