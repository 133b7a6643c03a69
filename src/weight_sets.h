// Which replicas serve which model, and when they load a new weight version.
//
// A load makes a replica discard its caches and keeps the model's new work away from
// it for about a second, so each model is served by a bounded set of replicas, spread
// over failure domains, and only these load its versions. Sets change as little as can
// be: a replica that goes is replaced, one that is too many is let go.
//
// Work accepts weights up to `lag` versions older than the named one. A replica that
// new work still accepts need not load at each version: of lag + 1 parts of the set
// one loads at a time, the one that is no longer accepted. So the set may be lag + 1
// times as large for the same number of loads, and loads keep no work waiting.
//
// Loads slow each other down once too many run side by side, so how many do is taken
// from the replicas' own reports, not from the time that a load usually takes: orders
// that count as done too early would pile up, each slowing all others.
//
// Pure; owned by the holder of the duty. A plan is O(models x replicas).
#pragma once

#include "types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagerail {

struct weight_set_settings {
    // Replicas of a model that load at a time, as a share of its set; at least one.
    double loadingShare = 0.34;
    // Replicas that load at a time in all, as a share of all; more of them slow each other.
    double loadingOfAll = 0.21;
    std::size_t leastLoading = 2; // of all, however few there are
    // Sets stay below what loads could serve, so that these keep up with named versions.
    double headroom = 0.75;
    duration loadTime = std::chrono::milliseconds(1000); // an accepted order is done by then, unless loads slow each other; loading takes 0.9 s
    duration confirmTime = std::chrono::milliseconds(3500); // the replica's own entry shows it by then
    duration checkPause = std::chrono::milliseconds(300); // between reports of a replica that loads; a report is some hundred ms old
    // One that is busy for longer is stuck: it gets no other order, but holds no other
    // replica's load up. Loads of all 38 replicas of the largest service at once, of which
    // eight go at full speed, take 4.3 s.
    duration longestLoad = std::chrono::seconds(5);
    duration reportHolds = std::chrono::milliseconds(700); // two reports; a replica that said it is busy counts as that for so long
    duration retryPause = std::chrono::milliseconds(400); // after a refusal
    duration unsurePause = std::chrono::milliseconds(1500); // after a lost answer; the order may be carried out late
};

struct weight_model {
    model_id model;
    weight_version named; // the version that replicas are to serve
    double work = 0; // tokens that a batch of it makes; 0 = not known
    std::uint64_t lag = 0; // new work accepts versions from named - lag on
};

struct weight_replica {
    target_id target;
    incarnation life;
    failure_domain_id failureDomain;
    std::map<model_id, weight_version> versions;
    double busy = 0; // requests there
};

struct weight_load {
    target_id target;
    model_id model;
    weight_version version;
};

enum class load_outcome {
    Accepted,
    Holds,
    NotNow, // surely not done
    Busy, // surely not done: another order is under way there
    Unsure,
};

class weight_sets {
public:
    explicit weight_sets(weight_set_settings settings = {})
        : m_settings(settings)
    {
    }

    void setModels(std::vector<weight_model> models);
    // All live replicas of the service that serve these models.
    void setReplicas(std::vector<weight_replica> replicas, instant now);
    // Loads to order now; each is answered by ordered().
    std::vector<weight_load> plan(instant now);
    void ordered(const weight_load& load, load_outcome outcome, instant now);
    // Replicas whose report is wanted now: their loads should be done, or were under way
    // when they said so last. Each is answered by reported(), or not at all.
    std::vector<target_id> checks(instant now);
    void reported(const target_id& target, bool busy, const std::map<model_id, weight_version>& versions, instant now);

    // Members of a model's set.
    const std::set<target_id>& members(const model_id& model) const;

private:
    struct open_load {
        weight_version version;
        instant loadingUntil {}; // counts as loading until then
        instant again {}; // not ordered again before
        std::optional<instant> checkAt {}; // once accepted
        instant since {};
    };
    // A replica that carries out an order which is not among ours.
    struct foreign_load {
        instant until {};
        instant checkAt {};
        instant since {};
    };
    // What a replica said of itself, where the list of replicas is older.
    struct shown_version {
        incarnation life;
        weight_version version;
    };
    using load_key = std::pair<target_id, model_id>;

    void arrangeSets();
    std::vector<double> shares() const;
    std::vector<std::size_t> sizes() const;
    std::size_t memberships(const target_id& target) const;
    void noteForeign(const target_id& target, instant now);
    bool isStuck(instant since, instant now) const { return now - since >= m_settings.longestLoad; }
    // A replica carries out one order at a time.
    bool isBusy(const target_id& target, instant now) const;
    const weight_replica* find(const target_id& target) const;
    weight_replica* find(const target_id& target);
    static weight_version versionAt(const weight_replica& replica, const model_id& model);

    weight_set_settings m_settings;
    std::vector<weight_model> m_models; // sorted by name
    std::vector<weight_replica> m_replicas; // sorted by target
    std::map<model_id, std::set<target_id>> m_sets; // live replicas alone
    std::map<load_key, open_load> m_loads;
    std::map<target_id, foreign_load> m_foreign;
    std::map<load_key, shown_version> m_shown;
    std::map<target_id, instant> m_refused; // not ordered anything before then
};

} // namespace lovagerail
