// See pool_shares.h.
#include "pool_shares.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace lovagerail {

namespace {

    double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

    bool fitsAlone(const slot_job& job, double slots) { return job.due > duration {} && job.work <= slots * seconds(job.due); }

    // Jobs that can be in time alone and are not late, the one that is due first in front.
    std::vector<std::size_t> openJobs(const std::vector<slot_job>& jobs, double slots)
    {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            if (!jobs[i].late && fitsAlone(jobs[i], slots))
                out.push_back(i);
        }
        std::sort(out.begin(), out.end(), [&jobs](std::size_t a, std::size_t b) { return std::pair(jobs[a].due, a) < std::pair(jobs[b].due, b); });
        return out;
    }

    // How many jobs of the list are in time, in its order, before the first that is not.
    std::size_t inTime(const std::vector<slot_job>& jobs, const std::vector<std::size_t>& order, double slots)
    {
        double work = 0;
        for (std::size_t i = 0; i < order.size(); ++i) {
            work += jobs[order[i]].work;
            if (work > slots * seconds(jobs[order[i]].due))
                return i;
        }
        return order.size();
    }

} // namespace

void chooseLate(std::vector<slot_job>& jobs, double slots)
{
    // A job that is late anyway is finished first if it needs less than this part of the least work
    // of the others: its trainer can go on, and the others hardly notice.
    constexpr double nearlyDone = 0.25;

    // Step 1. If all that can be in time alone fit together, none gives way.
    auto fresh = jobs;
    for (auto& job : fresh)
        job.late = false;
    const auto all = openJobs(fresh, slots);
    if (inTime(fresh, all, slots) == all.size())
        jobs = fresh;

    // Step 2. Otherwise the job of the highest cost gives way, among those due up to the first that
    // would be late, until the rest fits.
    for (;;) {
        const auto order = openJobs(jobs, slots);
        const auto count = inTime(jobs, order, slots);
        if (count == order.size())
            break;
        const auto last = order.begin() + static_cast<std::ptrdiff_t>(count) + 1;
        jobs[*std::max_element(order.begin(), last, [&jobs](std::size_t a, std::size_t b) { return jobs[a].cost < jobs[b].cost; })].late = true;
    }

    // Step 3. Jobs that can't be in time alone.
    double least = 0;
    for (const auto i : openJobs(jobs, slots))
        least = least == 0 ? jobs[i].work : std::min(least, jobs[i].work);
    for (auto& job : jobs) {
        if (!fitsAlone(job, slots))
            job.late = least > 0 && job.work > nearlyDone * least;
    }
}

// The claims of one model; the claims whose owners don't know shares are apart from the others.
struct pool_shares::model_claim {
    slot_claim sum; // `due`, `work` and `groups` are those of the next batch of all
    std::vector<const slot_claim*> parts;
    model_state* state = nullptr; // of limitable ones
    double fair = 0;
    double floor = 0;
    double target = 0; // floor <= target <= demand
    double share = 0;
    double demand() const { return static_cast<double>(sum.demand()); }
};

std::vector<pool_shares::model_claim> pool_shares::merge(const std::vector<slot_claim>& claims) const
{
    std::map<std::pair<model_id, bool>, model_claim> byModel;
    for (const auto& claim : claims) {
        if (claim.demand() == 0)
            continue;
        auto& model = byModel[{ claim.model, claim.limitable }];
        if (model.parts.empty())
            model.sum = claim;
        else {
            model.sum.running += claim.running;
            model.sum.waiting += claim.waiting;
            model.sum.urgent += claim.urgent;
            model.sum.priority = std::min(model.sum.priority, claim.priority);
            if (claim.due && (!model.sum.due || *claim.due < *model.sum.due)) {
                model.sum.due = claim.due;
                model.sum.work = claim.work;
                model.sum.groups = claim.groups;
            }
        }
        model.parts.push_back(&claim);
    }
    std::vector<model_claim> out;
    out.reserve(byModel.size());
    for (auto& [key, model] : byModel)
        out.push_back(std::move(model));
    return out;
}

// Equal shares, of which no model gets more than its demand.
void pool_shares::setFairShares(std::vector<model_claim>& models, std::size_t slots) const
{
    std::vector<model_claim*> byDemand;
    byDemand.reserve(models.size());
    for (auto& model : models)
        byDemand.push_back(&model);
    std::sort(byDemand.begin(), byDemand.end(), [](const model_claim* a, const model_claim* b) { return a->demand() < b->demand(); });
    auto left = static_cast<double>(slots);
    auto count = static_cast<double>(byDemand.size());
    for (auto* model : byDemand) {
        model->fair = std::min(model->demand(), left / count);
        model->floor = model->fair * m_settings.floorPart;
        left -= model->fair;
        --count;
    }
}

void pool_shares::updateStates(std::vector<model_claim>& models, instant now)
{
    constexpr duration sameDue = std::chrono::milliseconds(500); // reports of one due time differ by less
    constexpr double maxServed = 4; // bounds how long a model is ranked low after it had the pool alone
    const auto passed = m_last == instant {} ? duration {} : now - m_last;
    const double weight = 1 - std::exp(-seconds(passed) / seconds(m_settings.servedWindow));
    for (auto& model : models) {
        if (!model.sum.limitable)
            continue;
        auto& state = m_models[model.sum.model];
        model.state = &state;
        const double held = model.fair > 0 ? std::min(static_cast<double>(model.sum.running) / model.fair, maxServed) : 1;
        state.served += (held - state.served) * weight;
        const auto due = now + model.sum.due.value_or(duration {});
        if (std::chrono::abs(due - state.nextDue) > sameDue)
            state.late = state.leads = false;
        state.nextDue = due;
        state.seenAt = now;
    }
    std::erase_if(m_models, [&](const auto& entry) { return now - entry.second.seenAt > m_settings.forgetAfter; });
}

// Sorts by urgency class; in a class, models whose next batch can be in time come first, the one
// that is due first in front, and then the late ones: the one that leads, then the one that is
// furthest behind.
void pool_shares::rank(std::vector<model_claim>& models, double slots) const
{
    // A model that got less than its fair share is less likely to give way, by at most this factor.
    constexpr double maxFavour = 4;
    std::stable_sort(models.begin(), models.end(), [](const model_claim& a, const model_claim& b) { return a.sum.priority < b.sum.priority; });
    for (auto first = models.begin(); first != models.end();) {
        const auto last = std::find_if(first, models.end(), [first](const model_claim& model) { return model.sum.priority != first->sum.priority; });
        std::vector<slot_job> jobs;
        for (auto model = first; model != last; ++model) {
            const auto& claim = model->sum;
            const double perGroup = claim.work / std::max<std::uint32_t>(claim.groups, 1);
            jobs.push_back({ claim.due.value_or(duration {}), claim.work, perGroup * std::clamp(model->state->served, 1 / maxFavour, maxFavour), model->state->late });
        }
        chooseLate(jobs, slots);
        for (auto model = first; model != last; ++model)
            model->state->late = jobs[static_cast<std::size_t>(model - first)].late;
        const auto place = [](const model_claim& model) {
            const auto& state = *model.state;
            const auto due = state.late ? duration {} : model.sum.due.value_or(duration::max());
            return std::tuple(state.late, state.late && !state.leads, due, state.late ? state.served : 0.0);
        };
        std::stable_sort(first, last, [&](const model_claim& a, const model_claim& b) { return place(a) < place(b); });
        // The first late model keeps its place until its batch ends: alternating between them would
        // delay them all.
        const auto firstLate = std::find_if(first, last, [](const model_claim& model) { return model.state->late; });
        for (auto model = first; model != last; ++model)
            model->state->leads = model == firstLate;
        first = last;
    }
}

// Sets the targets: the floors, then in the order of rank what counts for batches that are not
// late, then the rest of the demand.
void pool_shares::fill(std::vector<model_claim>& models, double slots) const
{
    double left = slots;
    for (auto& model : models) {
        model.floor = model.target = std::min(model.floor, left);
        left -= model.target;
    }
    for (const bool urgentOnly : { true, false }) {
        for (auto& model : models) {
            const double wanted = urgentOnly ? std::min(static_cast<double>(model.sum.urgent), model.demand()) : model.demand();
            const double more = std::clamp(wanted - model.target, 0.0, left);
            model.target += more;
            left -= more;
        }
    }
}

// Moves the shares towards their targets, by `weight` of the difference. What is over goes to the
// models in the order of rank, and what is missing is taken from the last ones, down to the floors.
void pool_shares::smooth(std::vector<model_claim>& models, double slots, double weight) const
{
    double left = slots;
    for (auto& model : models) {
        const auto& before = model.state->share;
        const double next = before ? *before + (model.target - *before) * weight : model.target;
        model.share = std::clamp(next, model.floor, std::max(model.floor, model.demand()));
        left -= model.share;
    }
    for (auto model = models.rbegin(); model != models.rend() && left < 0; ++model) {
        const double less = std::min(model->share - model->floor, -left);
        model->share -= less;
        left += less;
    }
    for (auto& model : models) {
        const double more = std::clamp(model.demand() - model.share, 0.0, std::max(left, 0.0));
        model.share += more;
        left -= more;
    }
    for (auto& model : models)
        model.state->share = model.share;
}

std::vector<slot_share> pool_shares::divide(const std::vector<slot_claim>& claims, std::size_t slots, instant now)
{
    // Step 1. Fair shares. Nothing is limited if the demand fits.
    auto models = merge(claims);
    setFairShares(models, slots);
    updateStates(models, now);
    const auto passed = m_last == instant {} ? duration {} : now - m_last;
    m_last = now;
    const auto demand = std::accumulate(models.begin(), models.end(), std::size_t { 0 }, [](std::size_t sum, const model_claim& model) { return sum + model.sum.demand(); });
    // A holder that sees no live target knows nothing about the pool.
    m_limiting = slots > 0 && demand > slots;
    if (!m_limiting) {
        for (auto& [model, state] : m_models) {
            state.share.reset();
            state.late = state.leads = false;
        }
        return {};
    }

    // Step 2. Set slots apart for claims that can't be limited: what they hold, at least their fair
    // share. The others keep their floors.
    auto left = static_cast<double>(slots);
    double floors = 0;
    for (const auto& model : models) {
        if (model.sum.limitable)
            floors += model.floor;
        else
            left -= std::max(static_cast<double>(model.sum.running), model.fair);
    }
    left = std::max(left, floors);
    std::erase_if(models, [](const model_claim& model) { return !model.sum.limitable; });

    // Step 3. Rank, fill and smooth.
    rank(models, left);
    fill(models, left);
    smooth(models, left, 1 - std::exp(-seconds(passed) / seconds(m_settings.smoothing)));

    // Step 4. Whole slots: fractions are added up in the order of rank. The claims of one model
    // divide its share in proportion to their demand.
    std::vector<slot_share> out;
    double exact = 0;
    std::size_t given = 0;
    const model_claim* ahead = nullptr;
    for (const auto& model : models) {
        for (const auto* part : model.parts) {
            constexpr double rounding = 1e-6; // of sums of fractions
            exact += model.share * static_cast<double>(part->demand()) / model.demand();
            const auto upTo = static_cast<std::size_t>(std::floor(exact + rounding));
            const auto fair = static_cast<std::size_t>(model.fair * static_cast<double>(part->demand()) / model.demand());
            out.push_back({ part->owner, part->model, upTo - given, fair, part->demand(), ahead == nullptr ? model_id() : ahead->sum.model });
            given = upTo;
        }
        ahead = &model;
    }
    assert(static_cast<double>(given) <= left + 1);
    return out;
}

void share_lease::apply(std::uint64_t request, std::map<share_key, leased_slots> shares, instant until)
{
    if (request < m_request)
        return;
    m_request = request;
    m_shares = std::move(shares);
    m_until = until;
}

std::optional<std::size_t> share_lease::limit(const share_key& key, instant now) const
{
    const auto found = m_shares.find(key);
    return now < m_until && found != m_shares.end() ? std::optional(found->second.slots) : std::nullopt;
}

std::optional<std::size_t> share_lease::expected(const share_key& key, instant now) const
{
    const auto found = m_shares.find(key);
    return now < m_until && found != m_shares.end() ? std::optional(std::max(found->second.slots, found->second.fair)) : std::nullopt;
}

} // namespace lovagerail
