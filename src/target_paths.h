// Decides by which path requests go to targets: on this instance's own connections, or through
// a relay, another instance that reaches targets while this one does not.
//
// A pure state machine: what requests show, answers of other instances and the time go in;
// questions to other instances and path tests come out. Two targets that fail with none
// reached in between mean that this instance is cut off. Only then others are asked, a few at
// a time; one that reaches targets becomes a relay. If none does, the targets are down for all, and
// the own connections are tried as before. While the instance is cut off one target at a time is
// tested, so that its own path is used again soon after it has healed.
//
// A single failing target is left to health.h: the request goes to another one.
//
// Each operation is O(log targets), except pathTo() and tick(), which are linear in the
// other instances while this one is cut off.
#pragma once

#include "types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace lovagerail {

struct target_path_settings {
    std::size_t failuresToCutOff = 2; // different targets, none reached in between
    duration evidenceTime = std::chrono::seconds(1); // how long a contact with a target proves that it is reached, or not
    duration testPeriod = std::chrono::milliseconds(500); // between path tests
    duration relayTime = std::chrono::seconds(3); // how long an instance stays a relay after its last success
    duration uselessTime = std::chrono::seconds(1); // before an instance that can't help is asked again
    duration questionTime = std::chrono::milliseconds(250); // answers are waited for
    duration confirmTime = std::chrono::milliseconds(300); // from the failures that mean cut off, until it is certain
    std::size_t askedAtOnce = 4;
    std::size_t namedTargets = 4; // in a question
};

enum class path_kind {
    Direct,
    DirectDoubted, // cut off, but no other instance is known to reach targets
    Relayed,
    Undecided, // other instances are being asked: ask again after the next event or tick()
};

struct target_path {
    path_kind kind = path_kind::Direct;
    instance_id relay {}; // if Relayed
};

// Asks these instances whether they reach targets.
struct ask_for_relays {
    std::vector<instance_id> instances;
    std::vector<target_id> targets; // to be tested by those that have no evidence
};
// Sends the target a request that it answers at once, to see whether it is reached.
struct test_path {
    target_id target;
};
using path_action = std::variant<ask_for_relays, test_path>;

enum class connection_age {
    New,
    Kept, // of an earlier request
};

enum class path_failure {
    NotConnected, // refused, or it hangs
    Silent, // connected, but the request got no answer
};

class target_paths {
public:
    explicit target_paths(target_path_settings settings = {});

    // The other instances, those to be asked first at the front.
    void setInstances(std::vector<instance_id> others);
    // The live targets.
    void setTargets(std::vector<target_id> targets);

    // Events of the own path. An answer on a connection of earlier says nothing of new ones, which
    // may fail while old ones live on.
    void reached(connection_age age, instant now);
    void failed(const target_id& target, path_failure failure, instant now);

    // An instance that was asked says whether it reaches targets.
    void answered(const instance_id& instance, bool reachesTargets, instant now);
    void relayReached(const instance_id& instance, instant now);
    // The relay did not send the request on, as it does not reach this target.
    void relayFailed(const instance_id& instance, const target_id& target, instant now);
    // The instance does not answer, or can't relay.
    void relayLost(const instance_id& instance, instant now);

    // Relays that `mayRelay` refuses are neither used nor asked for.
    using relay_filter = std::function<bool(const instance_id&)>;
    target_path pathTo(const target_id& target, instant now, const relay_filter& mayRelay = anyRelay);
    // Whether this instance reaches targets, as far as it knows by itself; empty without evidence.
    std::optional<bool> reachesTargets(instant now) const;
    // The own paths to all targets are taken to be broken.
    bool isCutOff() const { return m_failedTargets.size() >= m_settings.failuresToCutOff; }
    // Cut off while another instance reaches targets, and for long enough that a path test would have shown
    // otherwise.
    bool isCutOffAlone(instant now) const;

    std::vector<path_action> tick(instant now);

private:
    struct other_instance {
        std::optional<instant> relayUntil;
        instant uselessUntil {};
        std::map<target_id, instant> cannotReachUntil;
    };

    static bool anyRelay(const instance_id& /*name*/) { return true; }
    bool hasRelay(instant now) const;
    std::optional<instance_id> pickRelay(const target_id& target, instant now, const relay_filter& mayRelay);
    bool isAsking(instant now) const { return !m_asked.empty() && now < m_askedUntil; }
    bool startQuestion(const target_id& target, instant now, const relay_filter& mayRelay);
    std::vector<target_id> targetsToName(const target_id& target);
    std::optional<target_id> nextUnfailed();

    target_path_settings m_settings;
    std::vector<instance_id> m_order; // of the other instances; the keys of m_others
    std::map<instance_id, other_instance> m_others;
    std::vector<target_id> m_targets;
    std::map<target_id, path_failure> m_failedTargets; // live ones that failed since a target was last reached
    instant m_cutOffSince {}; // if isCutOff()
    std::optional<instant> m_lastReached; // on a new connection, or on a kept one while new ones did not fail
    std::set<instance_id> m_asked; // and have not answered
    instant m_askedUntil {};
    instant m_nextTest {};
    std::size_t m_nextTested = 0; // counts up; index into m_targets
    std::size_t m_nextRelay = 0; // counts up; relays take turns
    std::vector<path_action> m_actions; // taken by tick()
};

} // namespace lovagerail
