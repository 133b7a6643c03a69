// Replays trainers with steps on one engine pool, item by item: each has an owner that reports its
// demand every 0.4 s and gets its share, as the daemons do. Sizes are those of deployment A. The
// tests and the benchmark use it.
#pragma once

#include "pool_shares.h"
#include "router_policy.h"

#include <algorithm>
#include <string>
#include <vector>

namespace lovagerail {

struct trainer_plan {
    double load = 1; // submissions, as a multiple of one step per trainer every 4 s
    bool shares = true; // false: slots are taken by arrival
    std::size_t trainers = 3;
    std::size_t maxOpen = 0; // batches of one trainer; 0: not bounded
    std::vector<std::int32_t> priorities; // of the trainers; 0 for those not given
    duration length = std::chrono::seconds(60);
    std::pair<duration, duration> outage {}; // no item starts and no report is answered from, until
    std::uint64_t seed = 1;
};

struct trainer_result {
    std::size_t steps = 0; // submitted and decided: read or given up
    std::size_t onTime = 0;
    std::size_t late = 0; // read after they were due
    std::vector<std::size_t> onTimeOf; // by trainer
    double leastService = 1e9; // of any trainer in any 10 s: slots held in proportion to half of its fair share
    std::size_t mostShared = 0; // sum of shares given at once
    std::uint64_t decisions = 0; // hash of all shares
};

class trainer_world {
public:
    explicit trainer_world(trainer_plan plan)
        : m_plan(std::move(plan))
        , m_random(m_plan.seed)
        , m_trainers(m_plan.trainers)
    {
        for (std::size_t i = 0; i < m_trainers.size(); ++i) {
            m_trainers[i].id = model_id("m" + std::to_string(i));
            m_trainers[i].nextSubmit = begin + period() * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(m_trainers.size());
            m_trainers[i].nextReport = begin + tick * static_cast<std::int64_t>(3 * i);
        }
        m_result.onTimeOf.resize(m_trainers.size());
    }

    trainer_result run()
    {
        for (instant now = begin; now < begin + m_plan.length; now += tick) {
            const bool away = now >= begin + m_plan.outage.first && now < begin + m_plan.outage.second;
            for (auto& trainer : m_trainers)
                advance(trainer, now);
            for (auto& trainer : m_trainers) {
                if (m_plan.shares && !away && now >= trainer.nextReport)
                    report(trainer, now);
            }
            if (!away)
                startItems(now);
            measure(now);
        }
        return m_result;
    }

private:
    static constexpr instant begin { std::chrono::hours(1) };
    static constexpr duration tick = std::chrono::milliseconds(20);
    static constexpr std::size_t slots = 210;
    static constexpr std::size_t groupSize = 4;
    static constexpr double meanItemSeconds = 2;

    struct item_state {
        std::size_t group = 0;
        duration length {};
        std::optional<instant> ends; // once started
        bool done = false;
    };
    struct batch_state {
        instant submitted;
        std::vector<item_state> items; // of one group side by side
        std::vector<std::size_t> openItems; // by group
        std::size_t required = 0; // groups
        std::size_t complete = 0; // groups
        bool late = false;
        instant due() const { return submitted + std::chrono::milliseconds(7500); }
        // Whether the trainer waits for the item's group: groups are sent in order.
        bool counts(const item_state& one) const { return one.group < required; }
    };
    struct trainer_state {
        model_id id;
        std::vector<batch_state> batches;
        instant nextSubmit {};
        instant nextReport {};
        share_lease lease;
        slot_claim claim; // as reported last
        instant claimUntil {};
        std::vector<std::pair<double, double>> service; // slots held and fair share, by tick
    };

    duration period() const { return std::chrono::duration_cast<duration>(std::chrono::duration<double>(4 / m_plan.load)); }

    static std::size_t count(const trainer_state& one, bool running)
    {
        std::size_t out = 0;
        for (const auto& batch : one.batches)
            out += static_cast<std::size_t>(std::count_if(batch.items.begin(), batch.items.end(), [running](const item_state& item) { return !item.done && item.ends.has_value() == running; }));
        return out;
    }

    void advance(trainer_state& one, instant now)
    {
        for (auto& batch : one.batches) {
            for (auto& item : batch.items) {
                if (item.done || !item.ends || now < *item.ends)
                    continue;
                item.done = true;
                batch.complete += --batch.openItems[item.group] == 0 ? 1 : 0;
            }
        }
        std::erase_if(one.batches, [&](const batch_state& batch) {
            const bool read = batch.complete >= batch.required;
            if (!read && now < batch.submitted + std::chrono::seconds(12))
                return false;
            ++m_result.steps;
            if (read && now <= batch.due()) {
                ++m_result.onTime;
                ++m_result.onTimeOf[static_cast<std::size_t>(&one - m_trainers.data())];
            } else if (read)
                ++m_result.late;
            return true;
        });
        if (now < one.nextSubmit || (m_plan.maxOpen > 0 && one.batches.size() >= m_plan.maxOpen))
            return;
        one.nextSubmit = now + period();
        batch_state next;
        next.submitted = now;
        const auto groups = 22 + m_random.below(15); // 88 to 144 items
        next.required = (groups * 9 + 9) / 10;
        next.openItems.assign(groups, groupSize);
        for (std::size_t i = 0; i < groups * groupSize; ++i)
            next.items.push_back({ i / groupSize, std::chrono::milliseconds(800 + m_random.below(2400)), {}, false });
        one.batches.push_back(std::move(next));
    }

    // Seconds of one slot that the batch still needs.
    static double workOf(const batch_state& batch, instant now)
    {
        double out = 0;
        for (const auto& item : batch.items) {
            if (!item.done && batch.counts(item))
                out += item.ends ? std::max(0.0, std::chrono::duration<double>(*item.ends - now).count()) : meanItemSeconds;
        }
        return out;
    }

    // Time left to send the batch's items: the last one still has to run afterwards.
    static duration timeLeft(const batch_state& batch, instant now)
    {
        const bool waits = std::any_of(batch.items.begin(), batch.items.end(), [&batch](const item_state& item) { return !item.ends && batch.counts(item); });
        return batch.due() - now - (waits ? std::chrono::seconds(2) : duration {});
    }

    void decideLate(trainer_state& one, instant now) const
    {
        std::vector<slot_job> jobs;
        for (const auto& batch : one.batches) {
            const auto work = workOf(batch, now);
            jobs.push_back({ timeLeft(batch, now), work, work / static_cast<double>(std::max<std::size_t>(batch.required - batch.complete, 1)), batch.late });
        }
        chooseLate(jobs, static_cast<double>(one.lease.expected({ {}, one.id }, now).value_or(slots / m_trainers.size())));
        for (std::size_t i = 0; i < jobs.size(); ++i)
            one.batches[i].late = jobs[i].late;
    }

    void report(trainer_state& one, instant now)
    {
        one.nextReport = now + std::chrono::milliseconds(400);
        decideLate(one, now);
        auto& claim = one.claim;
        claim = {};
        claim.owner = instance_id("owner-" + one.id.str());
        claim.model = one.id;
        const auto index = static_cast<std::size_t>(&one - m_trainers.data());
        claim.priority = index < m_plan.priorities.size() ? m_plan.priorities[index] : 0;
        claim.running = count(one, true);
        claim.waiting = count(one, false);
        const batch_state* next = nullptr;
        for (const auto& batch : one.batches) {
            if (next == nullptr || std::pair(batch.late, batch.due()) < std::pair(next->late, next->due()))
                next = &batch;
            for (const auto& item : batch.items)
                claim.urgent += !item.done && (item.ends || (!batch.late && batch.counts(item))) ? 1 : 0;
        }
        if (next != nullptr) {
            claim.due = timeLeft(*next, now);
            claim.work = workOf(*next, now);
            claim.groups = static_cast<std::uint32_t>(next->required - next->complete);
        }
        one.claimUntil = now + std::chrono::milliseconds(1500);

        std::vector<slot_claim> claims;
        for (const auto& other : m_trainers) {
            if (now < other.claimUntil)
                claims.push_back(other.claim);
        }
        std::map<share_key, leased_slots> shares;
        std::size_t sum = 0;
        for (const auto& share : m_pool.divide(claims, slots, now)) {
            sum += share.slots;
            m_result.decisions = m_result.decisions * 31 + share.slots;
            if (share.model == one.id)
                shares[{ {}, one.id }] = { share.slots, share.fair };
        }
        m_result.mostShared = std::max(m_result.mostShared, sum);
        one.lease.apply(++m_requests, std::move(shares), now + std::chrono::milliseconds(1500));
    }

    // The next item that the owner sends; null if there is none.
    item_state* nextItem(trainer_state& one, instant now)
    {
        std::vector<batch_state*> order;
        for (auto& batch : one.batches)
            order.push_back(&batch);
        const bool limited = one.lease.any(now);
        std::stable_sort(order.begin(), order.end(), [limited](const batch_state* a, const batch_state* b) { return std::pair(limited && a->late, a->due()) < std::pair(limited && b->late, b->due()); });
        for (const bool required : { true, false }) {
            for (auto* batch : order) {
                for (auto& item : batch->items) {
                    if (!item.done && !item.ends && (!limited || batch->counts(item) == required))
                        return &item;
                }
            }
        }
        return nullptr;
    }

    void startItems(instant now)
    {
        std::vector<std::size_t> running;
        for (const auto& one : m_trainers)
            running.push_back(count(one, true));
        std::size_t free = slots;
        for (const auto held : running)
            free -= std::min(free, held);
        std::vector<std::size_t> open(m_trainers.size());
        for (std::size_t i = 0; i < open.size(); ++i)
            open[i] = i;
        while (free > 0 && !open.empty()) {
            const auto place = m_random.below(open.size());
            auto& one = m_trainers[open[place]];
            const auto limit = one.lease.limit({ {}, one.id }, now);
            auto* next = limit && running[open[place]] >= *limit ? nullptr : nextItem(one, now);
            if (next == nullptr) {
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(place));
                continue;
            }
            next->ends = now + next->length;
            ++running[open[place]];
            --free;
        }
    }

    void measure(instant now)
    {
        std::vector<std::size_t> demands;
        for (const auto& one : m_trainers)
            demands.push_back(count(one, true) + count(one, false));
        for (std::size_t i = 0; i < m_trainers.size(); ++i) {
            auto& one = m_trainers[i];
            const double fair = std::min(static_cast<double>(demands[i]), static_cast<double>(slots) / static_cast<double>(m_trainers.size()));
            one.service.emplace_back(static_cast<double>(count(one, true)), fair);
            constexpr std::size_t window = std::chrono::seconds(10) / tick;
            if (one.service.size() < window)
                continue;
            double held = 0;
            double half = 0;
            for (auto sample = one.service.end() - window; sample != one.service.end(); ++sample) {
                held += sample->first;
                half += sample->second / 2;
            }
            if (half > 0 && now >= begin + m_plan.outage.second + std::chrono::seconds(10))
                m_result.leastService = std::min(m_result.leastService, held / half);
        }
    }

    trainer_plan m_plan;
    seeded_random m_random;
    std::vector<trainer_state> m_trainers;
    pool_shares m_pool;
    std::uint64_t m_requests = 0;
    trainer_result m_result;
};

} // namespace lovagerail
