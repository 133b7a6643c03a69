// Merging of target information from several sources; see target_table.h.
#include "target_table.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <utility>

namespace lovagerail {

namespace {

    const std::vector<target_slot> noSlots;

    // Advances the state; returns false if it is there already or further.
    bool advance(target_record& record, target_state state, instant now)
    {
        if (state <= record.listed.state)
            return false;
        record.listed.state = state;
        record.stateSince = now;
        return true;
    }

    // The state that a load report proves: an engine without a model is still loading its
    // weights, so it can't take requests yet.
    target_state reportedState(target_kind kind, const model_id& model)
    {
        if (kind == target_kind::Engine && model.empty())
            return target_state::Starting;
        return target_state::Live;
    }

} // namespace

std::uint32_t labelNumber(const label_map& labels, const std::string& name)
{
    const auto found = labels.find(name);
    return found == labels.end() ? 0 : static_cast<std::uint32_t>(std::strtoul(found->second.c_str(), nullptr, 10));
}

std::string toString(const target_software& software) { return software.pool.str() + "/" + software.version; }

target_table::target_table(target_table_settings settings)
    : m_settings(settings)
{
}

// Applies a row unless it is of an older incarnation. A row of the same incarnation may
// change anything, but can't move the state back.
slot_change target_table::applyRow(const listed_target& row, instant now)
{
    const auto slot = find(row.id);
    if (!slot) {
        if (row.state == target_state::Gone)
            return {};
        return { addSlot(row, now), target_change::Added };
    }
    target_record& record = m_slots[slot->value()].record;
    record.lastListed = now;
    // Step 1. Rows of an older incarnation are ignored, except that a leaving one makes a
    // target that has restarted by itself leave, too.
    const bool older = row.incarnation < record.listed.incarnation;
    const bool leaves = older && row.state == target_state::Leaving;
    const bool leavingChanged = std::exchange(record.leavingInList, leaves) != leaves;
    const bool returned = std::exchange(record.absent, false) || leavingChanged;
    if (older) {
        if (returned)
            updateClasses(*slot);
        return { *slot, target_change::None };
    }

    // Step 2. Apply the row, with the merged state.
    listed_target merged = row;
    const bool restarted = row.incarnation > record.listed.incarnation;
    if (!restarted)
        merged.state = std::max(row.state, record.listed.state);
    if (!returned && merged == record.listed)
        return { *slot, target_change::None };
    if (restarted)
        restart(record, row.incarnation, row.state, now);
    else
        advance(record, row.state, now);
    record.listed = std::move(merged);
    applyLabels(record);

    // Step 3. Update the classes.
    updateClasses(*slot);
    return { *slot, restarted ? target_change::Restarted : target_change::Updated };
}

// Absence, unlike leaving, is temporary: a list that is incomplete for a while must not
// remove targets for good, so absence ends when the target is seen again.
std::vector<slot_change> target_table::applyList(const std::vector<listed_target>& rows, instant now)
{
    std::vector<slot_change> changes;
    std::vector<target_slot> listed;
    for (const listed_target& row : rows) {
        const slot_change change = applyRow(row, now);
        if (change.change != target_change::None)
            changes.push_back(change);
        if (const auto slot = find(row.id))
            listed.push_back(*slot);
    }
    std::sort(listed.begin(), listed.end());
    for (const auto& [id, slot] : m_slotById) {
        const target_record& record = m_slots[slot.value()].record;
        const instant lastSeen = std::max(record.lastListed, record.lastHeard);
        if (record.absent || now - lastSeen < m_settings.absenceGrace || std::binary_search(listed.begin(), listed.end(), slot))
            continue;
        markAbsent(slot, now);
        changes.push_back({ slot, target_change::Updated });
    }
    return changes;
}

// A report comes from the target itself, so a newer incarnation in it is real even if the
// list does not show it yet.
slot_change target_table::applyReport(const target_id& id, incarnation reported, weight_version version, const model_id& model, instant now)
{
    const auto slot = find(id);
    if (!slot)
        return {};
    target_record& record = m_slots[slot->value()].record;
    if (reported < record.listed.incarnation)
        return { *slot, target_change::None };
    record.lastHeard = now;
    const bool returned = std::exchange(record.absent, false);
    const target_state state = reportedState(record.listed.kind, model);
    const bool restarted = reported > record.listed.incarnation;
    bool changed = returned || record.version != version || record.model != model;
    if (restarted)
        restart(record, reported, state, now);
    else
        changed |= advance(record, state, now);
    record.version = version;
    record.model = model;
    if (!restarted && !changed)
        return { *slot, target_change::None };
    updateClasses(*slot);
    return { *slot, restarted ? target_change::Restarted : target_change::Updated };
}

// The states leaving and gone may come from the platform, another instance, an operator or
// this instance's own observation; the most advanced state wins.
slot_change target_table::advanceState(const target_id& id, incarnation seen, target_state state, instant now)
{
    const auto slot = find(id);
    if (!slot) {
        const auto [it, isNew] = m_pendingStates.try_emplace(id, pending_state { seen, state, now });
        if (std::pair(seen, state) > std::pair(it->second.seen, it->second.state))
            it->second = { seen, state, now };
        return {};
    }
    target_record& record = m_slots[slot->value()].record;
    if (seen < record.listed.incarnation)
        return { *slot, target_change::None };
    if (seen > record.listed.incarnation) {
        restart(record, seen, state, now);
        updateClasses(*slot);
        return { *slot, target_change::Restarted };
    }
    if (!advance(record, state, now))
        return { *slot, target_change::None };
    updateClasses(*slot);
    return { *slot, target_change::Updated };
}

void target_table::setEvacuated(std::set<failure_domain_id> domains)
{
    if (domains == m_evacuated)
        return;
    m_evacuated = std::move(domains);
    for (const auto& [id, slot] : m_slotById)
        updateClasses(slot);
}

slot_change target_table::setLabels(const target_id& id, label_map labels)
{
    if (labels.empty())
        m_operatorLabels.erase(id);
    else
        m_operatorLabels[id] = std::move(labels);
    const auto slot = find(id);
    if (!slot)
        return {};
    applyLabels(m_slots[slot->value()].record);
    updateClasses(*slot);
    return { *slot, target_change::Updated };
}

// A target that is still listed is kept however long ago it left, as its row would
// otherwise bring it back.
std::vector<slot_change> target_table::expire(instant now)
{
    std::vector<slot_change> changes;
    for (auto it = m_slotById.begin(); it != m_slotById.end();) {
        const target_slot slot = it->second;
        target_record& record = m_slots[slot.value()].record;
        const instant lastSeen = std::max({ record.lastListed, record.lastHeard, record.stateSince });
        const bool isRemovable = record.absent || record.listed.state == target_state::Gone;
        if (!isRemovable || now - lastSeen < m_settings.removedRetention) {
            ++it;
            continue;
        }
        m_slots[slot.value()].used = false;
        updateClasses(slot);
        m_free.push_back(slot);
        it = m_slotById.erase(it);
        changes.push_back({ slot, target_change::Removed });
    }
    std::erase_if(m_pendingStates, [&](const auto& item) { return now - item.second.receivedAt >= m_settings.removedRetention; });
    return changes;
}

void target_table::setClass(const routing_class_id& name, target_predicate predicate)
{
    routing_class& routingClass = m_classes[name];
    routingClass.predicate = std::move(predicate);
    routingClass.allowed.clear();
    routingClass.version = ++m_lastVersion;
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        const target_slot slot(i);
        if (isLive(slot) && routingClass.predicate(m_slots[i].record))
            routingClass.allowed.push_back(slot);
    }
}

void target_table::removeClass(const routing_class_id& name)
{
    m_classes.erase(name);
}

const std::vector<target_slot>& target_table::allowed(const routing_class_id& name) const
{
    const auto it = m_classes.find(name);
    return it == m_classes.end() ? noSlots : it->second.allowed;
}

std::uint64_t target_table::allowedVersion(const routing_class_id& name) const
{
    const auto it = m_classes.find(name);
    return it == m_classes.end() ? 0 : it->second.version;
}

bool target_table::isAllowed(const routing_class_id& name, target_slot slot) const
{
    const auto& slots = allowed(name);
    return std::binary_search(slots.begin(), slots.end(), slot);
}

std::optional<target_slot> target_table::find(const target_id& id) const
{
    const auto it = m_slotById.find(id);
    if (it == m_slotById.end())
        return std::nullopt;
    return it->second;
}

const target_record& target_table::record(target_slot slot) const
{
    assert(slot.value() < m_slots.size());
    return m_slots[slot.value()].record;
}

bool target_table::isLive(target_slot slot) const
{
    if (slot.value() >= m_slots.size())
        return false;
    const slot_entry& entry = m_slots[slot.value()];
    return entry.used && !m_evacuated.contains(entry.record.listed.failureDomain) && !entry.record.absent && !entry.record.leavingInList && entry.record.listed.state == target_state::Live;
}

std::vector<target_slot> target_table::all() const
{
    std::vector<target_slot> slots;
    for (const auto& [id, slot] : m_slotById)
        slots.push_back(slot);
    std::sort(slots.begin(), slots.end());
    return slots;
}

// Reuses the slot freed last, or adds a new one, and applies a state received early.
target_slot target_table::addSlot(const listed_target& row, instant now)
{
    target_slot slot(static_cast<std::uint32_t>(m_slots.size()));
    if (m_free.empty()) {
        m_slots.emplace_back();
    } else {
        slot = m_free.back();
        m_free.pop_back();
    }
    slot_entry& entry = m_slots[slot.value()];
    assert(!entry.used);
    entry.used = true;
    entry.record = {};
    entry.record.listed = row;
    entry.record.stateSince = now;
    entry.record.lastListed = now;
    applyLabels(entry.record);
    m_slotById.emplace(row.id, slot);
    const auto pending = m_pendingStates.find(row.id);
    if (pending != m_pendingStates.end()) {
        const pending_state received = pending->second;
        m_pendingStates.erase(pending);
        if (received.seen > row.incarnation)
            restart(entry.record, received.seen, received.state, now);
        else if (received.seen == row.incarnation)
            advance(entry.record, received.state, now);
    }
    updateClasses(slot);
    return slot;
}

// Resets the record for a newer incarnation, which hasn't served anything yet.
void target_table::restart(target_record& record, incarnation seen, target_state state, instant now)
{
    assert(seen > record.listed.incarnation);
    record.listed.incarnation = seen;
    record.listed.state = state;
    record.stateSince = now;
    record.absent = false;
    record.version = {};
    record.model = {};
}

void target_table::applyLabels(target_record& record)
{
    record.labels = record.listed.labels;
    const auto it = m_operatorLabels.find(record.listed.id);
    if (it == m_operatorLabels.end())
        return;
    for (const auto& [name, value] : it->second)
        record.labels[name] = value;
}

void target_table::markAbsent(target_slot slot, instant now)
{
    target_record& record = m_slots[slot.value()].record;
    record.absent = true;
    record.stateSince = now;
    updateClasses(slot);
}

void target_table::updateClasses(target_slot slot)
{
    const bool live = isLive(slot);
    for (auto& [name, routingClass] : m_classes)
        updateClassMember(routingClass, slot, live && routingClass.predicate(m_slots[slot.value()].record));
}

// Adds or removes one slot in the sorted list, which is cheaper than rebuilding the list
// at each event.
void target_table::updateClassMember(routing_class& routingClass, target_slot slot, bool isMember)
{
    const auto it = std::lower_bound(routingClass.allowed.begin(), routingClass.allowed.end(), slot);
    const bool wasMember = it != routingClass.allowed.end() && *it == slot;
    if (wasMember == isMember)
        return;
    if (isMember)
        routingClass.allowed.insert(it, slot);
    else
        routingClass.allowed.erase(it);
    routingClass.version = ++m_lastVersion;
}

} // namespace lovagerail
