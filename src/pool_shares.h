// Divides the slots of an engine pool between the trainers (models) with open batches, and decides
// which batches will be late when not all can be in time.
//
// Load pattern: several trainers each submit a batch every few seconds, and after an outage all of
// them have more items open than the pool has slots. If every batch advanced at the same rate, all
// would be late; so whole batches finish one after the other, within a floor for each trainer.
//
// All parts are pure. The holder of the duty over targets keeps one `pool_shares` per pool and
// feeds it with the demand reports of all owners; each owner keeps the shares that it was given in
// a `share_lease`. Nothing is limited without a valid share.
#pragma once

#include "site.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lovagerail {

// --- Batches that can't all be in time ---------------------------------------

// A batch that competes for slots.
struct slot_job {
    duration due {}; // time left until it is due; negative afterwards
    double work = 0; // left, in seconds of one slot; only what its trainer waits for
    double cost = 0; // of finishing it, relative to its worth; the highest is late first
    bool late = false; // in: the decision so far; out: the decision
};

// Sets `late` of the jobs that give way so that the others are in time on `slots` slots. A decision
// stands until all jobs that could be in time alone fit together. A job that can't be in time even
// alone is late, unless it is nearly done compared with the others. O(n^2 log n), n is small.
void chooseLate(std::vector<slot_job>& jobs, double slots);

// --- Shares of a pool --------------------------------------------------------

// The demand of one model at one owner of its batches.
struct slot_claim {
    instance_id owner;
    model_id model;
    bool limitable = true; // false: its owner doesn't know shares; its slots are set apart
    std::int32_t priority = 0; // 0 is the most urgent
    std::size_t running = 0; // items at targets
    std::size_t waiting = 0; // items that targets of the pool could run
    // Items that count for batches that are not late, running ones of others included; at most
    // running + waiting.
    std::size_t urgent = 0;
    // The next batch: the one due first among those not late.
    double work = 0; // left, in seconds of one slot; 0 if unknown
    std::uint32_t groups = 0; // left that count
    std::optional<duration> due; // time left; empty if unknown

    std::size_t demand() const { return running + waiting; }
};

struct slot_share {
    instance_id owner;
    model_id model;
    std::size_t slots = 0;
    std::size_t fair = 0; // part of the pool that the claim could count on if all models were equal
    std::size_t wanted = 0;
    model_id behind; // the model that gets its slots before this one; empty for the first
};

struct pool_share_settings {
    // Part of its fair share that each model gets at least. A little above the promised half, as
    // slots change hands only when items end.
    double floorPart = 0.55;
    // Time constant of changes. Short against a step's 7.5 s, and above the period of reports (0.4 s).
    duration smoothing = std::chrono::milliseconds(600);
    duration servedWindow = std::chrono::seconds(10); // time constant of the service that a model has received
    duration forgetAfter = std::chrono::seconds(30); // a model without demand
};

class pool_shares {
public:
    explicit pool_shares(pool_share_settings settings = {})
        : m_settings(settings)
    {
    }

    // The shares of the claims that can be limited; empty if the whole demand fits into `slots`, or
    // there are none, so that nothing is limited. The shares, and the slots set apart for the other claims, add up to at
    // most `slots`, unless those claims hold more already: then only the floors are shared out.
    std::vector<slot_share> divide(const std::vector<slot_claim>& claims, std::size_t slots, instant now);
    bool limiting() const { return m_limiting; }

private:
    struct model_state {
        std::optional<double> share; // last one; empty while nothing is limited
        double served = 1; // slots held in proportion to the fair share, moving average
        bool late = false; // of its next batch
        bool leads = false; // among the late ones, until its next batch changes
        instant nextDue {}; // of its next batch
        instant seenAt {};
    };
    struct model_claim; // the claims of one model
    std::vector<model_claim> merge(const std::vector<slot_claim>& claims) const;
    void setFairShares(std::vector<model_claim>& models, std::size_t slots) const;
    void updateStates(std::vector<model_claim>& models, instant now);
    void rank(std::vector<model_claim>& models, double slots) const;
    void fill(std::vector<model_claim>& models, double slots) const;
    void smooth(std::vector<model_claim>& models, double slots, double weight) const;

    pool_share_settings m_settings;
    std::map<model_id, model_state> m_models;
    instant m_last {};
    bool m_limiting = false;
};

// --- Shares at an owner ------------------------------------------------------

using share_key = std::pair<service_id, model_id>;
struct leased_slots {
    std::size_t slots = 0;
    std::size_t fair = 0;
};

// The shares that the holder of the duty gave last. Answers are applied in the order of the
// requests, so with two holders for a moment the newer answer counts.
class share_lease {
public:
    // The answer to request number `request`; `until` is the end of its validity. Empty `shares`
    // mean that nothing is limited.
    void apply(std::uint64_t request, std::map<share_key, leased_slots> shares, instant until);
    // Items of the model that may run at once; empty: not limited.
    std::optional<std::size_t> limit(const share_key& key, instant now) const;
    // The slots that batches of the model can count on: the share changes while they run, so at
    // least the fair share. Empty: not limited.
    std::optional<std::size_t> expected(const share_key& key, instant now) const;
    bool any(instant now) const { return now < m_until && !m_shares.empty(); }

private:
    std::uint64_t m_request = 0;
    instant m_until {};
    std::map<share_key, leased_slots> m_shares;
};

} // namespace lovagerail
