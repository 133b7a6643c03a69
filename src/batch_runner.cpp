// Adding, ending and handing over batches, texts kept for later batches, and the timer;
// see batch_runner.h. Runs are in batch_runs.cpp, judging and pages in batch_pages.cpp, what happens
// when slots are short in batch_contention.cpp.
#include "batch_runner.h"

#include "json_text.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::size_t maxPromptBlocks = 256;

} // namespace

Json::Value encodeTexts(const partial_texts& texts)
{
    Json::Value out(Json::objectValue);
    for (const auto& [item, generated] : texts) {
        Json::Value row(Json::objectValue);
        row["last"] = Json::UInt64(generated.lastEventId);
        row["whole"] = generated.complete;
        row["pool"] = generated.software.pool.str();
        row["software"] = generated.software.version;
        row["data"] = Json::Value(Json::arrayValue);
        for (const auto& line : generated.data)
            row["data"].append(line);
        row["versions"] = Json::Value(Json::arrayValue);
        for (const auto version : generated.versions)
            row["versions"].append(Json::UInt64(version.value()));
        out[item.str()] = std::move(row);
    }
    return out;
}

partial_texts decodeTexts(const Json::Value& value)
{
    partial_texts out;
    if (!value.isObject())
        return out;
    for (const auto& name : value.getMemberNames()) {
        partial_text generated;
        generated.lastEventId = jsonCount(value[name], "last");
        generated.complete = jsonFlag(value[name], "whole");
        generated.software = { pool_id(jsonText(value[name], "pool")), jsonText(value[name], "software") };
        for (const auto& line : jsonList(value[name], "data"))
            generated.data.push_back(line.isString() ? line.asString() : std::string());
        for (const auto& version : jsonList(value[name], "versions"))
            generated.versions.emplace_back(version.isUInt64() ? version.asUInt64() : 0);
        out[item_id(name)] = std::move(generated);
    }
    return out;
}

std::vector<block_hash> hashParts(const model_id& model, const std::vector<prompt_part>& parts)
{
    std::vector<block_hash> out;
    std::uint64_t hash = XXH64(model.str().data(), model.str().size(), 0);
    for (const auto& part : parts) {
        hash = XXH64(part.id.data(), part.id.size(), hash);
        const auto blocks = std::max<std::uint64_t>(part.tokens / prefixBlockTokens, 1);
        for (std::uint64_t i = 0; i < blocks && out.size() < maxPromptBlocks; ++i)
            out.emplace_back(XXH64(&i, sizeof i, hash));
    }
    return out;
}

std::string_view toString(cancel_reason reason)
{
    switch (reason) {
    case cancel_reason::BatchClosed:
        return "batch_closed";
    case cancel_reason::Stalled:
        return "stalled";
    case cancel_reason::Moved:
        return "moved";
    case cancel_reason::WrongAnswer:
        return "wrong_answer";
    case cancel_reason::BrokenText:
        return "broken_text";
    }
    return "unknown";
}

batch_runner::batch_runner(batch_runner_settings settings, router& targets)
    : m_settings(settings)
    , m_router(targets)
    , m_lastAttempt(firstRunNumber)
    , m_runStartSeconds(std::chrono::duration<double>(settings.expectedRunStart).count())
{
}

batch_runner::batch_state* batch_runner::find(const batch_id& id)
{
    const auto found = m_batches.find(id);
    return found == m_batches.end() ? nullptr : &found->second;
}

const batch_runner::batch_state* batch_runner::find(const batch_id& id) const
{
    const auto found = m_batches.find(id);
    return found == m_batches.end() ? nullptr : &found->second;
}

bool batch_runner::ended(const batch_id& id) const
{
    const auto* batch = find(id);
    return batch != nullptr && batch->ended;
}

const batch_spec* batch_runner::spec(const batch_id& id) const
{
    const auto* batch = find(id);
    return batch == nullptr ? nullptr : &batch->spec;
}

const std::vector<batch_result>& batch_runner::listed(const batch_id& id) const
{
    static const std::vector<batch_result> none;
    const auto* batch = find(id);
    return batch == nullptr ? none : batch->listed;
}

bool batch_runner::writing(const batch_id& id) const
{
    const auto* batch = find(id);
    return batch != nullptr && batch->writing;
}

std::uint32_t batch_runner::pages(const batch_id& id) const
{
    const auto* batch = find(id);
    return batch == nullptr ? 0 : batch->pages;
}

std::optional<std::uint32_t> batch_runner::openPage(const batch_id& id) const
{
    const auto* batch = find(id);
    if (batch == nullptr || batch->writing || batch->pageItems.empty())
        return std::nullopt;
    return batch->pages;
}

const batch_item* batch_runner::unlistedItem(const batch_id& id, const item_id& item) const
{
    const auto* batch = find(id);
    if (batch == nullptr)
        return nullptr;
    for (std::size_t i = 0; i < batch->items.size(); ++i) {
        if (batch->spec.items[i].id == item && batch->items[i].stage != item_stage::Listed)
            return &batch->spec.items[i];
    }
    return nullptr;
}

std::vector<batch_id> batch_runner::all() const
{
    std::vector<batch_id> out;
    for (const auto& [id, batch] : m_batches)
        out.push_back(id);
    return out;
}

// --- Batches -----------------------------------------------------------------

void batch_runner::add(batch_spec spec, const site_route& route, double tokensPerEvent, std::vector<batch_result> listed, std::uint32_t pages, instant now, wall_time wall)
{
    if (m_batches.contains(spec.id))
        return;
    const auto id = spec.id;
    auto& batch = m_batches[id];
    batch.spec = std::move(spec);
    batch.route = route;
    const auto age = std::max(std::chrono::duration_cast<duration>(wall - batch.spec.submitted), duration {});
    batch.dueAt = now - age + route.resultDeadline;
    batch.itemDeadline = now - age + route.itemTtl;
    batch.items.resize(batch.spec.items.size());
    batch.pages = pages;

    // Step 1. Items whose results are stored are listed.
    std::map<item_id, std::size_t> byId;
    for (std::size_t i = 0; i < batch.spec.items.size(); ++i)
        byId[batch.spec.items[i].id] = i;
    for (const auto& result : listed) {
        if (const auto found = byId.find(result.item); found != byId.end())
            batch.items[found->second].stage = item_stage::Listed;
    }
    batch.listed = std::move(listed);

    // Step 2. Resume texts of these items from an earlier batch.
    resumeKeptTexts(batch);
    for (auto& item : batch.items)
        item.unstoredSince = now;
    setPlaces(batch, placeItems({ route, tokensPerEvent }, std::nullopt, {}));
    orderItems(batch);
    batch.completeGroups = static_cast<std::size_t>(std::count_if(batch.groups.begin(), batch.groups.end(), [&batch](const auto& group) {
        return std::all_of(group.second.begin(), group.second.end(), [&batch](std::size_t i) { return batch.items[i].stage == item_stage::Listed; });
    }));
}

// Defines the routing class of these services: their replicas whose weights are new enough for the batch.
routing_class_id batch_runner::defineRoutingClass(const batch_state& batch, const std::vector<service_id>& services)
{
    std::string where;
    std::set<pool_id> pools;
    for (const auto& service : services) {
        pools.insert(pool_id(service.str()));
        where += " " + service.str();
    }
    const auto& regions = batch.places.regions;
    if (regions) {
        where += " in";
        for (const auto& region : *regions)
            where += " " + region.str();
    }
    const auto minVersion = batch.spec.minVersion.value();
    const auto label = "version:" + batch.spec.model.str();
    routing_class_id out("items" + where + " " + batch.spec.model.str() + " from " + std::to_string(minVersion));
    if (!m_router.table().hasClass(out)) {
        m_router.setClass(out, [pools, label, minVersion, regions](const target_record& record) {
            return pools.contains(record.listed.pool) && isAllowed(regions, record.listed.region) && labelNumber(record.listed.labels, label) >= minVersion;
        });
    }
    return out;
}

void batch_runner::dropRoutingClasses(const std::vector<routing_class_id>& names)
{
    for (const auto& name : names) {
        const bool used = std::any_of(m_batches.begin(), m_batches.end(), [&name](const auto& entry) {
            const auto& batch = entry.second;
            return !batch.ended && (batch.firstClass == name || batch.otherClass == name || batch.anyClass == name);
        });
        if (!used)
            m_router.removeClass(name);
    }
}

void batch_runner::setPlaces(batch_state& batch, item_places places)
{
    const std::vector<routing_class_id> former { batch.firstClass, batch.otherClass, batch.anyClass };
    batch.places = std::move(places);
    batch.firstClass = batch.anyClass = defineRoutingClass(batch, batch.places.services);
    batch.otherClass = {};
    if (!batch.places.otherServices.empty()) {
        auto services = batch.places.services;
        services.insert(services.end(), batch.places.otherServices.begin(), batch.places.otherServices.end());
        batch.otherClass = defineRoutingClass(batch, batch.places.otherServices);
        batch.anyClass = defineRoutingClass(batch, services);
    }
    dropRoutingClasses(former);
    choosePlace(batch);
}

void batch_runner::place(const batch_id& id, item_places places)
{
    auto* batch = find(id);
    if (batch != nullptr && !batch->ended)
        setPlaces(*batch, std::move(places));
}

// Items are sent to the services in force, or, while these have no target that may run them, to those that the batch was
// accepted for.
void batch_runner::choosePlace(batch_state& batch)
{
    batch.usesOther = m_router.table().allowed(batch.firstClass).empty() && !m_router.table().allowed(batch.otherClass).empty();
}

// Sets the order of sending: the items of a group follow each other; groups begun in an
// earlier batch come first, then those with the longest expected work.
void batch_runner::orderItems(batch_state& batch) const
{
    struct group_rank {
        bool begun = false;
        std::uint64_t longest = 0;
        std::size_t lowestIndex = 0;
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
            rank.begun = rank.begun || !batch.items[i].generated.data.empty() || batch.items[i].stage != item_stage::Waiting;
        ranks.push_back(rank);
    }
    std::sort(ranks.begin(), ranks.end(), [](const group_rank& a, const group_rank& b) {
        return std::tuple(b.begun, b.longest, a.lowestIndex) < std::tuple(a.begun, a.longest, b.lowestIndex);
    });
    for (const auto& rank : ranks)
        batch.order.insert(batch.order.end(), rank.members->begin(), rank.members->end());
}

void batch_runner::resumeKeptTexts(batch_state& batch)
{
    for (std::size_t i = 0; i < batch.items.size(); ++i) {
        const auto kept = m_keptTexts.find(batch.spec.items[i].id);
        if (kept == m_keptTexts.end() || batch.items[i].stage != item_stage::Waiting)
            continue;
        const auto& versions = kept->second.generated.versions;
        // Only a text that names its software can go on.
        const bool canGoOn = kept->second.generated.complete || !kept->second.generated.software.empty();
        const bool fits = canGoOn && !versions.empty() && *std::min_element(versions.begin(), versions.end()) >= batch.spec.minVersion
            && (!batch.route.singleVersion || versions.size() == 1);
        if (fits) {
            auto& item = batch.items[i];
            item.generated = kept->second.generated;
            if (item.generated.complete)
                item.stage = item_stage::AwaitingJudge;
            ++m_counts.reused;
        }
        m_keptTexts.erase(kept);
    }
}

void batch_runner::keepTexts(const batch_state& batch, instant now)
{
    std::erase_if(m_keptTexts, [now](const auto& entry) { return now >= entry.second.until; });
    for (std::size_t i = 0; i < batch.items.size(); ++i) {
        if (batch.items[i].stage == item_stage::Listed || batch.items[i].generated.data.empty() || m_keptTexts.size() >= m_settings.maxKeptTexts)
            continue;
        m_keptTexts[batch.spec.items[i].id] = { batch.items[i].generated, now + m_settings.keepTextsFor };
    }
}

void batch_runner::stopRuns(const batch_id& id, instant now)
{
    std::vector<attempt_id> attempts;
    for (const auto& [attempt, run] : m_runs) {
        if (run.batch == id)
            attempts.push_back(attempt);
    }
    for (const auto attempt : attempts) {
        m_actions.emplace_back(cancel_run { attempt, cancel_reason::BatchClosed });
        endRun(attempt, attempt_outcome::Refused, now);
    }
}

void batch_runner::deferWrites(const batch_id& id)
{
    if (auto* batch = find(id))
        batch->writesDeferred = true;
}

void batch_runner::accept(const batch_id& id)
{
    if (auto* batch = find(id))
        batch->writesDeferred = false;
}

std::vector<batch_action> batch_runner::end(const batch_id& id, instant now)
{
    auto* batch = find(id);
    if (batch == nullptr || batch->ended)
        return {};
    stopRuns(id, now);
    keepTexts(*batch, now);
    batch->ended = true;
    dropRoutingClasses({ batch->firstClass, batch->otherClass, batch->anyClass });
    return takeActions();
}

std::vector<batch_action> batch_runner::drop(const batch_id& id, instant now)
{
    const auto found = m_batches.find(id);
    if (found == m_batches.end())
        return {};
    stopRuns(id, now);
    // The trainer may repeat a submission that was never accepted.
    keepTexts(found->second, now);
    const std::vector<routing_class_id> classes { found->second.firstClass, found->second.otherClass, found->second.anyClass };
    m_batches.erase(found);
    dropRoutingClasses(classes);
    return takeActions();
}

bool batch_runner::isServiceFull(const service_id& service, instant now) const
{
    std::size_t live = 0;
    for (const auto slot : m_router.table().all()) {
        if (!m_router.table().isLive(slot) || m_router.table().record(slot).listed.pool != pool_id(service.str()))
            continue;
        ++live;
        if (!isFull(slot, now) && m_router.mayStart(slot, now))
            return false;
    }
    return live > 0;
}

partial_texts batch_runner::releaseTexts(const batch_id& id, std::vector<batch_action>& actions, instant now)
{
    partial_texts out;
    auto* batch = find(id);
    if (batch == nullptr)
        return out;
    for (std::size_t i = 0; i < batch->items.size(); ++i) {
        const auto& item = batch->items[i];
        if (item.stage != item_stage::Listed && !item.generated.data.empty())
            out[batch->spec.items[i].id] = item.generated;
    }
    actions = drop(id, now);
    return out;
}

void batch_runner::restoreTexts(const partial_texts& texts, instant now)
{
    for (const auto& [item, generated] : texts) {
        const auto kept = m_keptTexts.find(item);
        const bool keptIsLonger = kept != m_keptTexts.end() && kept->second.generated.data.size() > generated.data.size();
        if (!keptIsLonger && m_keptTexts.size() < m_settings.maxKeptTexts)
            m_keptTexts[item] = { generated, now + m_settings.keepTextsFor };
    }
}

// --- Time --------------------------------------------------------------------

void batch_runner::cancelStalledRuns(instant now)
{
    std::vector<attempt_id> stalled;
    for (const auto& [attempt, run] : m_runs) {
        const auto& item = m_batches.at(run.batch).items[run.index];
        const bool begun = run.accepted && run.lastReceivedAt != run.sentAt && !item.generated.data.empty();
        if (now - run.lastReceivedAt > (begun ? m_settings.eventTimeout : m_settings.firstEventTimeout))
            stalled.push_back(attempt);
    }
    for (const auto attempt : stalled) {
        const auto run = m_runs.at(attempt);
        ++m_counts.stalled;
        m_actions.emplace_back(cancel_run { attempt, cancel_reason::Stalled });
        endRun(attempt, attempt_outcome::Timeout, now);
        m_batches.at(run.batch).items[run.index].avoidUntil[run.target] = now + m_settings.avoidUntilRefresh;
    }
}

void batch_runner::notePlacement(batch_state& batch)
{
    const auto targets = m_router.table().allowed(placeClass(batch)).size();
    const auto waiting = targets > 0 ? 0 : std::count_if(batch.items.begin(), batch.items.end(), [](const item_state& item) { return item.stage == item_stage::Waiting; });
    const bool unplaced = waiting > 0;
    if (unplaced == batch.unplaced)
        return;
    batch.unplaced = unplaced;
    m_actions.emplace_back(note_placement { batch.spec.id, static_cast<std::size_t>(waiting), targets, placeClass(batch) });
}

std::vector<batch_action> batch_runner::tick(instant now)
{
    cancelStalledRuns(now);
    for (auto& [id, batch] : m_batches) {
        if (batch.ended)
            continue;
        choosePlace(batch);
        batch.typicalPace = typicalPace(batch, now);
    }
    moveStragglers(now);
    // The batch with the earliest due time is served first.
    std::vector<batch_state*> byDue;
    for (auto& [id, batch] : m_batches) {
        if (!batch.ended)
            byDue.push_back(&batch);
    }
    std::sort(byDue.begin(), byDue.end(), [](const batch_state* a, const batch_state* b) { return a->dueAt < b->dueAt; });
    const bool contended = isContended(byDue, now);
    decideLate(byDue, contended, now);
    if (contended)
        dispatchContended(byDue, now);
    for (auto* batch : byDue) {
        if (!contended)
            dispatch(*batch, now);
        for (std::size_t i = 0; i < batch->items.size(); ++i) {
            auto& item = batch->items[i];
            if (item.stage == item_stage::AwaitingJudge && now >= item.retryAt)
                finishText(*batch, i, now);
        }
        notePlacement(*batch);
        writeDuePage(*batch, now);
        saveDueTexts(*batch, now);
    }
    return takeActions();
}

} // namespace lovagerail
