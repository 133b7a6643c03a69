// Detects poison requests, which crash the targets that run them, and refuses them.
//
// When a target crashes, each request in flight there becomes a suspect. Requests are
// identified by a fingerprint of account, method, path and body. A suspect is retried
// once, on a target that runs no other suspect; if that target crashes too, the request
// is quarantined. A request that completes is cleared, so requests that merely shared a
// target with a poison request are not blamed for long. A crash counts for a short time
// only, until it is confirmed: by a second request whose attempt broke off there, by a
// new incarnation of the target, or by a target that can't be reached.
//
// A blame mark records one crash against one request. Marks replicate between instances
// as a state-based CRDT: the union of all marks, the latest expiry of each, and cleared
// once any instance has cleared it. The merge is commutative, associative and idempotent,
// so marks may arrive in any order and more than once. All operations are O(log suspects)
// except exchanging marks and expiring them, which are linear in the marks concerned.
#pragma once

#include "types.h"

#include <deque>
#include <json/value.h>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

using request_fingerprint = number_id<struct request_fingerprint_tag>;

request_fingerprint fingerprintOf(const client_account_id& account, std::string_view method, std::string_view path, std::string_view body);

// Identifies one crash of a target that is held against a request. Copies of a request
// that ran concurrently on the target share one id; an isolated run as a suspect has its own.
struct blame_id {
    target_id target;
    lovagerail::incarnation incarnation;
    std::string isolatedAttempt; // name of the isolated attempt; empty if it did not run as a suspect

    friend auto operator<=>(const blame_id&, const blame_id&) = default;
};

struct blame_mark {
    request_fingerprint request;
    blame_id blame;
    wall_time until {}; // expiry
    bool cleared = false; // the request has completed since

    friend bool operator==(const blame_mark&, const blame_mark&) = default;
};

Json::Value toJson(const std::vector<blame_mark>& marks);
// Skips malformed marks.
std::vector<blame_mark> blameMarksFromJson(const Json::Value& value);

enum class quarantine_verdict {
    Clear,
    RunIsolated, // a suspect: may run once more, on a target without other suspects
    Wait, // another run of the same suspect is in progress
    Refused, // quarantined
};

struct quarantine_settings {
    duration unconfirmedLifetime = std::chrono::seconds(30); // how long an unconfirmed crash counts
    duration confirmedLifetime = std::chrono::minutes(10); // how long a confirmed crash counts
    std::uint32_t crashesToQuarantine = 2; // crashes that quarantine a request
    std::size_t maxMarks = 16384; // beyond, those that expire first are dropped
    std::size_t maxPendingChanges = 4096; // changes that the caller has not taken yet; beyond, the oldest are dropped
};

class quarantine {
public:
    explicit quarantine(quarantine_settings settings = {});

    // Work that was accepted to be done later is owed: it is never refused, but runs isolated from
    // other suspects as long as crashes are held against it.
    quarantine_verdict verdictFor(request_fingerprint request, wall_time now, bool isOwed = false) const;
    // Time until a quarantined request may be retried; zero if it is not quarantined.
    duration retryAfter(request_fingerprint request, wall_time now) const;

    // Start and end of an isolated run; until the end, no other suspect may use the target.
    void isolatedRunStarted(request_fingerprint request, const target_id& target);
    void isolatedRunEnded(request_fingerprint request);
    // Targets that run a suspect now; this instance sends no other request there.
    std::vector<target_id> isolatedTargets() const;

    // An attempt broke off before its response was complete. `isolatedAttempt` names the
    // attempt if it ran as a suspect, else it is empty.
    void attemptBroke(request_fingerprint request, const target_id& target, incarnation targetIncarnation, const std::string& isolatedAttempt, wall_time now);
    // An attempt that attemptBroke() recorded broke off for another reason.
    void withdraw(request_fingerprint request, const blame_id& blame, wall_time now);
    // This incarnation of the target is known to have crashed; confirms its blames.
    void targetCrashed(const target_id& target, incarnation targetIncarnation, wall_time now);
    // The target is known to run as this incarnation, so earlier ones have ended;
    // confirms their blames.
    void incarnationSeen(const target_id& target, incarnation targetIncarnation, wall_time now);
    // Targets named by current marks.
    std::vector<target_id> blamedTargets() const;
    // The request completed on some target; clears its blames.
    void completed(request_fingerprint request, wall_time now);

    // Returns the local changes since the last call, to be sent to the other instances.
    std::vector<blame_mark> takePendingChanges();
    // Merges marks from another instance, in any order. Returns those that changed anything.
    std::vector<blame_mark> mergeMarks(const std::vector<blame_mark>& marks, wall_time now);
    // All marks, sorted.
    std::vector<blame_mark> marks() const;
    void dropExpired(wall_time now);

private:
    struct mark_state {
        wall_time until {};
        bool cleared = false;
    };
    using marks_by_blame = std::map<blame_id, mark_state>;

    struct blame_count {
        std::uint32_t all = 0;
        bool fromIsolatedRun = false; // at least one is from an isolated run
    };
    blame_count countBlames(request_fingerprint request, wall_time at) const;
    bool isQuarantined(request_fingerprint request, wall_time at) const;
    bool mergeMark(const blame_mark& mark);
    void recordMark(const blame_mark& mark);
    void erase(request_fingerprint request, const blame_id& blame);
    void confirmBlame(request_fingerprint request, const blame_id& blame, wall_time now);

    quarantine_settings m_settings;
    std::map<request_fingerprint, marks_by_blame> m_suspects; // no entry is empty
    // Indexes of the same marks by target and by expiry.
    std::map<target_id, std::set<std::pair<blame_id, request_fingerprint>>> m_byTarget;
    std::set<std::tuple<wall_time, request_fingerprint, blame_id>> m_byExpiry; // one for each mark
    std::map<request_fingerprint, target_id> m_isolatedRuns; // isolated runs of this instance
    std::deque<blame_mark> m_pendingChanges;
};

} // namespace lovagerail
