// Requests that bring down the targets that run them.
//
// When a target dies, each request that ran there is a suspect; requests are known
// by a fingerprint of account, method, path and body. A suspect runs again once,
// apart from other suspects; a death of its target then quarantines it. A request
// that completes whole is cleared, so those that were merely near are not blamed for
// good. A death counts for a short time until it is confirmed: by a second request
// that broke there, by a new incarnation, or by a target that can't be reached.
//
// Marks are sets of blames and of cleared blames, merged by union and the latest
// end: commutative, associative and idempotent, so instances may tell each other in any
// order and as often as they like. All operations are O(log suspects) but for news and
// the dropping of old marks, which are linear in what they move.
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

// The death of a target, as far as one request is concerned. Copies of a request
// that ran side by side share one; a run as a suspect has one of its own.
struct blame_id {
    target_id target;
    lovagerail::incarnation incarnation;
    std::string suspectRun; // name of the attempt; empty for a first run

    friend auto operator<=>(const blame_id&, const blame_id&) = default;
};

struct blame_mark {
    request_fingerprint of;
    blame_id by;
    wall_time until {}; // forgotten then
    bool cleared = false; // the request has completed whole since

    friend bool operator==(const blame_mark&, const blame_mark&) = default;
};

Json::Value toJson(const std::vector<blame_mark>& marks);
// Marks that aren't well formed are left out.
std::vector<blame_mark> blameMarksFromJson(const Json::Value& value);

enum class quarantine_verdict {
    Clear,
    RunAlone, // a suspect: once more, apart from other suspects
    Wait, // another run of the same suspect is under way
    Refused,
};

struct quarantine_settings {
    duration unconfirmed = std::chrono::seconds(30); // how long a death that isn't confirmed counts
    duration confirmed = std::chrono::minutes(10);
    std::uint32_t blamesToRefuse = 2;
    std::size_t mostMarks = 16384; // older ones go first
    std::size_t mostNews = 4096; // not yet taken; older ones go first
};

class quarantine {
public:
    explicit quarantine(quarantine_settings settings = {});

    quarantine_verdict judge(request_fingerprint of, wall_time now) const;
    // How long until a refused request may come again.
    duration retryAfter(request_fingerprint of, wall_time now) const;

    // A run as a suspect begins and ends; between, no other suspect may use the target.
    void suspectBegan(request_fingerprint of, const target_id& target);
    void suspectEnded(request_fingerprint of);
    // Targets that run a suspect now; nothing else of ours is sent there.
    std::vector<target_id> occupied() const;

    // An attempt broke off at a target without an end. `suspectRun` names the
    // attempt if it ran as a suspect.
    void broke(request_fingerprint of, const target_id& target, incarnation life, const std::string& suspectRun, wall_time now);
    // This incarnation of the target is known to have died.
    void died(const target_id& target, incarnation life, wall_time now);
    // The target is known to run under this incarnation, so earlier ones died.
    void seen(const target_id& target, incarnation life, wall_time now);
    // Targets that marks name.
    std::vector<target_id> blamedTargets() const;
    // The request completed whole at some target.
    void completed(request_fingerprint of, wall_time now);

    // Marks that changed since the last call, for other instances.
    std::vector<blame_mark> news();
    // Marks from another instance, in any order. Returns those that told anything new.
    std::vector<blame_mark> onNews(const std::vector<blame_mark>& marks, wall_time now);
    // All marks, sorted.
    std::vector<blame_mark> marks() const;
    void dropOld(wall_time now);

private:
    struct mark_state {
        wall_time until {};
        bool cleared = false;
    };
    using suspect_marks = std::map<blame_id, mark_state>;

    struct blame_count {
        std::uint32_t all = 0;
        bool apart = false; // one of them is from a run as a suspect
    };
    blame_count blames(request_fingerprint of, wall_time at) const;
    bool isRefused(request_fingerprint of, wall_time at) const;
    bool merge(const blame_mark& mark);
    void learn(const blame_mark& mark);
    void erase(request_fingerprint of, const blame_id& by);
    void confirm(request_fingerprint of, const blame_id& by, wall_time now);

    quarantine_settings m_settings;
    std::map<request_fingerprint, suspect_marks> m_suspects; // none is empty
    // The same marks, by target, and by the end of their time.
    std::map<target_id, std::set<std::pair<blame_id, request_fingerprint>>> m_byTarget;
    std::set<std::tuple<wall_time, request_fingerprint, blame_id>> m_byEnd; // one for each mark
    std::map<request_fingerprint, target_id> m_running; // as suspects, here
    std::deque<blame_mark> m_news;
};

} // namespace lovagerail
