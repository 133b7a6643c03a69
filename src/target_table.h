// Table of targets, merged from the platform's list (which lags), load reports and the
// daemon's own observations, and the sets of targets that each routing class allows.
//
// Within one incarnation a target's state only advances (starting, live, leaving, gone).
// Any source may advance it, and only a newer incarnation starts over, so a stale list can
// never bring a leaving target back.
//
// Each known target has a slot, a small number that indexes other routing state. Costs for
// n targets and c classes: an event of one target is O(log n + c), changing a class O(n).
#pragma once

#include "regions.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagerail {

using target_slot = number_id<struct target_slot_tag, std::uint32_t>;
using routing_class_id = name_id<struct routing_class_tag>;
using label_map = std::map<std::string, std::string>;
// The value of a numeric label; 0 if it is missing.
std::uint32_t labelNumber(const label_map& labels, const std::string& name);

enum class target_kind { Engine,
    Service };
enum class supply_kind { Firm,
    Cheap };
enum class target_state { Starting,
    Live,
    Leaving,
    Gone };

// The software that a target runs: versions of different pools are not related.
struct target_software {
    pool_id pool;
    std::string version; // empty if the target states none

    bool empty() const { return pool.empty(); }
    friend auto operator<=>(const target_software&, const target_software&) = default;
};
std::string toString(const target_software& software);

// One row of the platform's list of targets.
struct listed_target {
    target_id id;
    std::string address;
    pool_id pool;
    target_kind kind = target_kind::Engine;
    supply_kind supply = supply_kind::Firm;
    failure_domain_id failureDomain;
    label_map labels;
    std::string softwareVersion;
    lovagerail::incarnation incarnation;
    target_state state = target_state::Live;
    region_id region {}; // of the failure domain; empty if the settings don't name it

    target_software software() const { return { pool, softwareVersion }; }
    friend bool operator==(const listed_target&, const listed_target&) = default;
};

// The merged state of one target.
struct target_record {
    listed_target listed; // the last row, but with the merged incarnation and state
    label_map labels; // the listed ones, overridden by operators' labels
    bool absent = false; // neither listed nor heard from lately; cleared when it is seen again
    // The list has an incarnation older than the reported one as leaving: the list lags, or
    // the target restarted while leaving. Cleared once the list no longer says so.
    bool leavingInList = false;
    weight_version version; // last reported; zero before the first report
    model_id model; // last reported
    instant stateSince;
    instant lastHeard; // last report or observed answer
    instant lastListed;
};

using target_predicate = std::function<bool(const target_record&)>;

// The effect of an event on a target; tells the router which slot state to reset.
enum class target_change { None, // nothing new, or an outdated event
    Updated,
    Added, // a new slot
    Restarted, // a newer incarnation took over the slot
    Removed }; // the slot is free again

struct slot_change {
    target_slot slot;
    target_change change = target_change::None;
};

struct target_table_settings {
    // A target that is neither listed nor heard from for this long becomes absent; if it is 0,
    // one that the list lacks, whether or not it was heard from.
    duration absenceGrace = std::chrono::seconds(30);
    // Targets are kept for this long after they were last seen, so that delayed rows can't
    // bring back those that left.
    duration removedRetention = std::chrono::minutes(10);
};

class target_table {
public:
    explicit target_table(target_table_settings settings = {});

    // Merges one row; rows of an older incarnation are ignored.
    slot_change applyRow(const listed_target& row, instant now);
    // Merges a whole list: its rows as above; targets that are not in it and silent become absent.
    std::vector<slot_change> applyList(const std::vector<listed_target>& rows, instant now);
    // A load report proves that the incarnation runs, and states what it serves.
    slot_change applyReport(const target_id& id, incarnation reported, weight_version version, const model_id& model, instant now);
    // Advances the state of one incarnation; older incarnations are ignored. For a target
    // that is not known yet, the state is kept until its first row arrives.
    slot_change advanceState(const target_id& id, incarnation seen, target_state state, instant now);
    // Replaces the set of evacuated failure domains: their targets are not live, whatever their
    // state, until the domain is no longer in the set.
    void setEvacuated(std::set<failure_domain_id> domains);
    // Operators' labels override listed ones of the same name, for all incarnations; each
    // call replaces the earlier ones. The target need not be known yet.
    slot_change setLabels(const target_id& id, label_map labels);
    // Frees the slots of targets that have been gone or absent for removedRetention.
    std::vector<slot_change> expire(instant now);

    // Defines or replaces a class: the targets whose records satisfy the predicate.
    void setClass(const routing_class_id& name, target_predicate predicate);
    void removeClass(const routing_class_id& name);
    bool hasClass(const routing_class_id& name) const { return m_classes.contains(name); }

    // Live targets of the class, sorted by slot; empty for an unknown class.
    const std::vector<target_slot>& allowed(const routing_class_id& name) const;
    // Increases whenever allowed(name) changes; for invalidating caches derived from it.
    std::uint64_t allowedVersion(const routing_class_id& name) const;
    bool isAllowed(const routing_class_id& name, target_slot slot) const;

    std::optional<target_slot> find(const target_id& id) const;
    const target_record& record(target_slot slot) const;
    bool isLive(target_slot slot) const;
    bool isEvacuated(target_slot slot) const { return m_evacuated.contains(record(slot).listed.failureDomain); }
    // Number of slots, used and free; all slot numbers are below it.
    std::size_t slotCount() const { return m_slots.size(); }
    std::size_t size() const { return m_slotById.size(); }
    std::vector<target_slot> all() const;

private:
    struct slot_entry {
        target_record record;
        bool used = false;
    };
    // A state received for a target before its first row.
    struct pending_state {
        incarnation seen;
        target_state state = target_state::Starting;
        instant receivedAt;
    };
    struct routing_class {
        target_predicate predicate;
        std::vector<target_slot> allowed; // sorted; each is live and satisfies the predicate
        std::uint64_t version = 0;
    };

    target_slot addSlot(const listed_target& row, instant now);
    void restart(target_record& record, incarnation seen, target_state state, instant now);
    void applyLabels(target_record& record);
    void markAbsent(target_slot slot, instant now);
    void updateClasses(target_slot slot);
    void updateClassMember(routing_class& routingClass, target_slot slot, bool wanted);

    target_table_settings m_settings;
    std::vector<slot_entry> m_slots; // index is the slot number
    std::vector<target_slot> m_free;
    std::map<target_id, target_slot> m_slotById; // exactly the used slots
    std::map<target_id, label_map> m_operatorLabels;
    std::set<failure_domain_id> m_evacuated;
    std::map<target_id, pending_state> m_pendingStates; // of unknown targets only
    std::map<routing_class_id, routing_class> m_classes;
    std::uint64_t m_lastVersion = 0; // never reused, also when a class is removed and set again
};

} // namespace lovagerail
