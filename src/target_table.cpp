// Merging of what several sources say of targets; see target_table.h.
#include "target_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lovagerail {

namespace {

    const std::vector<target_slot> noSlots;

    // Moves the state forward; within an incarnation it never moves back.
    bool advance(target_record& record, target_state state, instant now)
    {
        if (state <= record.listed.state)
            return false;
        record.listed.state = state;
        record.stateSince = now;
        return true;
    }

    // Whether a report shows that the target can take work: an engine without a
    // model still loads its weights.
    target_state reportedState(target_kind kind, const model_id& model)
    {
        if (kind == target_kind::Engine && model.empty())
            return target_state::Starting;
        return target_state::Live;
    }

} // namespace

target_table::target_table(target_table_settings settings)
    : m_settings(settings)
{
}

// Takes over what a row says, unless it speaks of an older incarnation. A row of
// the same incarnation may change anything but can't move the state back.
slot_change target_table::applyRow(const listed_target& row, instant now)
{
    const auto known = find(row.id);
    if (!known) {
        if (row.state == target_state::Gone)
            return {};
        return { addSlot(row, now), target_change::Added };
    }
    target_record& record = m_slots[known->value()].record;
    record.lastListed = now;
    // Step 1. An older incarnation is over, whatever the list still says. But a target
    // that restarted by itself leaves with all its incarnations.
    const bool older = row.incarnation < record.listed.incarnation;
    const bool leaves = older && row.state == target_state::Leaving;
    const bool leavingChanged = std::exchange(record.leavingInList, leaves) != leaves;
    const bool returned = std::exchange(record.absent, false) || leavingChanged;
    if (older) {
        if (returned)
            refreshClasses(*known);
        return { *known, target_change::None };
    }

    // Step 2. Take the row, with the state merged.
    listed_target merged = row;
    const bool restarted = row.incarnation > record.listed.incarnation;
    if (!restarted)
        merged.state = std::max(row.state, record.listed.state);
    if (!returned && merged == record.listed)
        return { *known, target_change::None };
    if (restarted)
        restart(record, row.incarnation, row.state, now);
    else
        advance(record, row.state, now);
    record.listed = std::move(merged);
    relabel(record);

    // Step 3. Classes follow.
    refreshClasses(*known);
    return { *known, restarted ? target_change::Restarted : target_change::Updated };
}

// Absence is softer than leaving: a list that comes back short for a while must
// not end targets for good, so absence ends when the target is seen again.
std::vector<slot_change> target_table::applyList(const std::vector<listed_target>& rows, instant now)
{
    std::vector<slot_change> changes;
    for (const listed_target& row : rows) {
        const slot_change change = applyRow(row, now);
        if (change.change != target_change::None)
            changes.push_back(change);
    }
    for (const auto& [id, slot] : m_byName) {
        const target_record& record = m_slots[slot.value()].record;
        const instant seen = std::max(record.lastListed, record.lastHeard);
        if (record.absent || now - seen < m_settings.absenceGrace)
            continue;
        markAbsent(slot, now);
        changes.push_back({ slot, target_change::Updated });
    }
    return changes;
}

// A report comes from the target itself, so a newer incarnation in it is real
// even while the list doesn't know of it.
slot_change target_table::applyReport(const target_id& id, incarnation reported, weight_version version, const model_id& model, instant now)
{
    const auto known = find(id);
    if (!known)
        return {};
    target_record& record = m_slots[known->value()].record;
    if (reported < record.listed.incarnation)
        return { *known, target_change::None };
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
        return { *known, target_change::None };
    refreshClasses(*known);
    return { *known, restarted ? target_change::Restarted : target_change::Updated };
}

// Leaving and gone may be told by the platform, by another instance, by an
// operator, or seen by ourselves: the furthest state wins.
slot_change target_table::advanceState(const target_id& id, incarnation seen, target_state state, instant now)
{
    const auto known = find(id);
    if (!known) {
        const auto [it, isNew] = m_early.try_emplace(id, early_state { seen, state, now });
        if (std::pair(seen, state) > std::pair(it->second.seen, it->second.state))
            it->second = { seen, state, now };
        return {};
    }
    target_record& record = m_slots[known->value()].record;
    if (seen < record.listed.incarnation)
        return { *known, target_change::None };
    if (seen > record.listed.incarnation) {
        restart(record, seen, state, now);
        refreshClasses(*known);
        return { *known, target_change::Restarted };
    }
    if (!advance(record, state, now))
        return { *known, target_change::None };
    refreshClasses(*known);
    return { *known, target_change::Updated };
}

slot_change target_table::setLabels(const target_id& id, label_map labels)
{
    if (labels.empty())
        m_operatorLabels.erase(id);
    else
        m_operatorLabels[id] = std::move(labels);
    const auto known = find(id);
    if (!known)
        return {};
    relabel(m_slots[known->value()].record);
    refreshClasses(*known);
    return { *known, target_change::Updated };
}

// A target still listed is kept however long ago it left, for its row would
// otherwise bring it back.
std::vector<slot_change> target_table::expire(instant now)
{
    std::vector<slot_change> changes;
    for (auto it = m_byName.begin(); it != m_byName.end();) {
        const target_slot slot = it->second;
        target_record& record = m_slots[slot.value()].record;
        const instant seen = std::max({ record.lastListed, record.lastHeard, record.stateSince });
        const bool over = record.absent || record.listed.state == target_state::Gone;
        if (!over || now - seen < m_settings.goneMemory) {
            ++it;
            continue;
        }
        m_slots[slot.value()].used = false;
        refreshClasses(slot);
        m_free.push_back(slot);
        it = m_byName.erase(it);
        changes.push_back({ slot, target_change::Removed });
    }
    std::erase_if(m_early, [&](const auto& item) { return now - item.second.toldAt >= m_settings.goneMemory; });
    return changes;
}

void target_table::setClass(const routing_class_id& name, target_predicate predicate)
{
    routing_class& group = m_classes[name];
    group.predicate = std::move(predicate);
    group.allowed.clear();
    group.version = ++m_lastVersion;
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        const target_slot slot(i);
        if (isLive(slot) && group.predicate(m_slots[i].record))
            group.allowed.push_back(slot);
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
    const auto it = m_byName.find(id);
    if (it == m_byName.end())
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
    return entry.used && !entry.record.absent && !entry.record.leavingInList && entry.record.listed.state == target_state::Live;
}

std::vector<target_slot> target_table::all() const
{
    std::vector<target_slot> slots;
    for (const auto& [id, slot] : m_byName)
        slots.push_back(slot);
    std::sort(slots.begin(), slots.end());
    return slots;
}

// Takes the slot freed last, or a new one.
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
    relabel(entry.record);
    m_byName.emplace(row.id, slot);
    const auto early = m_early.find(row.id);
    if (early != m_early.end()) {
        const early_state told = early->second;
        m_early.erase(early);
        if (told.seen > row.incarnation)
            restart(entry.record, told.seen, told.state, now);
        else if (told.seen == row.incarnation)
            advance(entry.record, told.state, now);
    }
    refreshClasses(slot);
    return slot;
}

// A newer incarnation starts over: it has served nothing yet.
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

void target_table::relabel(target_record& record)
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
    refreshClasses(slot);
}

void target_table::refreshClasses(target_slot slot)
{
    const bool live = isLive(slot);
    for (auto& [name, group] : m_classes)
        refreshClass(group, slot, live && group.predicate(m_slots[slot.value()].record));
}

// Adds or removes one slot in the sorted list, so that events stay cheap.
void target_table::refreshClass(routing_class& group, target_slot slot, bool wanted)
{
    const auto it = std::lower_bound(group.allowed.begin(), group.allowed.end(), slot);
    const bool present = it != group.allowed.end() && *it == slot;
    if (present == wanted)
        return;
    if (wanted)
        group.allowed.insert(it, slot);
    else
        group.allowed.erase(it);
    group.version = ++m_lastVersion;
}

} // namespace lovagerail
