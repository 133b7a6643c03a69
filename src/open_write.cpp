// Settles conditional writes by what the store answers; see open_write.h.
#include "open_write.h"

#include <algorithm>

namespace lovagerail {

namespace {

    // The guard was changed, by this write or by another one.
    write_verdict judgeChangedGuard(const guarded_write& write, const kv_entry& entry)
    {
        // A created guard that was changed since had other holders, even if it reads the same.
        const bool changedSinceCreated = write.guardRevision == revision() && entry.modRevision != entry.createRevision;
        if (write.key != write.guard || entry.value != write.value || changedSinceCreated)
            return { write_state::Overtaken, {} };
        return { write_state::Done, entry.modRevision };
    }

} // namespace

const kv_entry* findEntry(const kv_answer& answer, std::string_view key)
{
    const auto found = std::find_if(answer.entries.begin(), answer.entries.end(), [key](const kv_entry& entry) { return entry.key == key; });
    return found == answer.entries.end() ? nullptr : &*found;
}

write_verdict judgeWrite(const guarded_write& write, const result<kv_answer>& answer)
{
    if (!answer)
        return {};
    if (answer->succeeded)
        return { write_state::Done, answer->at };
    const auto* guard = findEntry(*answer, write.guard);
    if (guard == nullptr)
        return { write.guardRevision == revision() ? write_state::NotDone : write_state::Overtaken, {} };
    if (guard->modRevision != write.guardRevision)
        return judgeChangedGuard(write, *guard);
    // While the guard is unchanged, no one else writes the other key.
    const auto* entry = write.key == write.guard ? nullptr : findEntry(*answer, write.key);
    return entry == nullptr ? write_verdict { write_state::NotDone, {} } : write_verdict { write_state::Done, entry->modRevision };
}

} // namespace lovagerail
