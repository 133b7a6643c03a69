// Assigns replicas to models, and schedules the loads of new weight versions on them.
//
// A load makes a replica discard its caches, and the replica gets no new requests for the
// model for about a second. So each model is served by a bounded set of replicas, spread
// over failure domains, and only these load its versions. Sets change as little as
// possible: a replica that disappears is replaced, a surplus one is removed.
//
// New requests accept weights up to `lag` versions older than the announced one. A replica
// that they still accept need not load every version. The set is divided into lag + 1
// parts, and only the part whose version is no longer accepted loads at a time. So the set
// may be lag + 1 times as large for the same number of loads, and no request waits for a load.
//
// Concurrent loads slow each other down above some number. So the number of running loads
// is taken from the replicas' own reports, not from the usual duration of a load: if loads
// counted as done too early, more and more would be started, each slowing all others.
//
// Performs no I/O; owned by the holder of the leadership duty. A plan costs O(models x replicas).
#pragma once

#include "types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagerail {

struct weight_set_settings {
    // Share of a model's set that may load at a time; at least one replica.
    double maxLoadingShareOfSet = 0.34;
    // Share of all replicas that may load at a time; with more, loads slow each other down.
    double maxLoadingShareOfAll = 0.21;
    std::size_t minLoadingLimit = 2; // loads at a time, however few replicas there are
    // Sets are made smaller by this factor than the load rate would allow, so that loads
    // keep up with the announced versions.
    double headroom = 0.75;
    duration loadTime = std::chrono::milliseconds(1000); // after this an accepted load should be done, unless loads slow each other; a load takes 0.9 s
    duration confirmTime = std::chrono::milliseconds(3500); // after this the replica's entry in the list should show the version
    duration pollInterval = std::chrono::milliseconds(300); // between polls of a loading replica; a report is some hundred ms old
    // A replica that is busy for longer is considered stuck: it gets no other order, but no
    // longer counts against the limits, so it does not block loads of other replicas. If all
    // 38 replicas of the largest service load at once, of which eight run at full speed, this
    // takes 4.3 s.
    duration stuckAfter = std::chrono::seconds(5);
    duration busyReportValidity = std::chrono::milliseconds(700); // two polls; a busy report is valid for this long
    duration retryDelay = std::chrono::milliseconds(400); // after a refusal
    duration lostAnswerRetryDelay = std::chrono::milliseconds(1500); // after a lost answer; the order may still be executed late
};

struct weight_model {
    model_id model;
    weight_version announcedVersion; // the announced version, which replicas are to serve
    double work = 0; // tokens generated per batch; 0 = unknown
    std::uint64_t lag = 0; // new requests accept versions up to `lag` older than the announced one
};

struct weight_replica {
    target_id target;
    incarnation incarnationNumber;
    failure_domain_id failureDomain;
    std::map<model_id, weight_version> versions;
    double busy = 0; // number of open requests
};

struct weight_load {
    target_id target;
    model_id model;
    weight_version version;
};

enum class load_outcome {
    Accepted,
    Holds, // the replica has the version already
    NotExecuted, // certainly not executed
    Busy, // certainly not executed: the replica is executing another order
    AnswerLost, // the answer was lost; the order may be executed
};

class weight_sets {
public:
    explicit weight_sets(weight_set_settings settings = {})
        : m_settings(settings)
    {
    }

    void setModels(std::vector<weight_model> models);
    // Replaces the list of live replicas of the service that serves these models.
    void setReplicas(std::vector<weight_replica> replicas, instant now);
    // Returns the loads to order now. The caller passes back the outcome of each.
    std::vector<weight_load> plan(instant now);
    void onLoadResult(const weight_load& load, load_outcome outcome, instant now);
    // Replicas to poll now: their loads should be done, or were still running at the last
    // report. The caller passes back the reports that it gets.
    std::vector<target_id> replicasToPoll(instant now);
    void onReplicaReport(const target_id& target, bool busy, const std::map<model_id, weight_version>& versions, instant now);

    // The replicas that serve a model.
    const std::set<target_id>& members(const model_id& model) const;

private:
    struct open_load {
        weight_version version;
        instant loadingUntil {}; // counted as loading until then
        instant reorderAt {}; // earliest time to order it again
        std::optional<instant> pollAt {}; // next poll of the replica; set once the order is accepted
        instant since {};
    };
    // A load that a replica executes and that this object did not order, e.g. one ordered by
    // the previous holder of the duty.
    struct foreign_load {
        instant until {};
        instant pollAt {};
        instant since {};
    };
    // A version in a replica's own report that is newer than its entry in the list.
    struct reported_version {
        incarnation incarnationNumber;
        weight_version version;
    };
    using load_key = std::pair<target_id, model_id>;

    void assignReplicas();
    std::vector<double> workShares() const;
    std::vector<std::size_t> setSizes() const;
    std::size_t membershipCount(const target_id& target) const;
    void recordForeignLoad(const target_id& target, instant now);
    bool isStuck(instant since, instant now) const { return now - since >= m_settings.stuckAfter; }
    // Whether the replica must not get an order now. It executes one order at a time.
    bool isBusy(const target_id& target, instant now) const;
    const weight_replica* find(const target_id& target) const;
    weight_replica* find(const target_id& target);
    static weight_version versionAt(const weight_replica& replica, const model_id& model);

    weight_set_settings m_settings;
    std::vector<weight_model> m_models; // sorted by name
    std::vector<weight_replica> m_replicas; // sorted by target
    std::map<model_id, std::set<target_id>> m_sets; // only live replicas
    std::map<load_key, open_load> m_loads;
    std::map<target_id, foreign_load> m_foreignLoads;
    std::map<load_key, reported_version> m_reportedVersions;
    std::map<target_id, instant> m_refusedUntil; // replicas that refused an order: no new order before then
};

} // namespace lovagerail
