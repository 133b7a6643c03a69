// What became of a conditional write whose answers may have been lost.
//
// A write without an answer may have taken effect, or may do so seconds later, as long as its
// condition holds. All attempts of one write carry the same condition: the revision of a guard
// key. So a write is settled in two ways only: it is found to be done, or the guard has changed,
// after which no attempt can take effect. Until then it is open, and its writer repeats it.
#pragma once

#include "kv.h"
#include "types.h"

#include <string>
#include <string_view>

namespace lovagerail {

inline constexpr duration openWriteRetryDelay = std::chrono::milliseconds(250); // before an open write is repeated

struct guarded_write {
    std::string guard; // key whose revision all attempts compare
    revision guardRevision; // 0: all attempts require that the guard doesn't exist
    std::string key; // that is written: the guard itself, or one that only the guard's holder writes
    std::string value {}; // written to the guard; names its writer. Unused for other keys
};

enum class write_state {
    Open, // nothing was learnt
    NotDone, // the condition still holds: to be repeated, and an earlier attempt may yet take effect
    Done,
    Overtaken, // another writer changed the guard: no attempt can take effect any more
};

struct write_verdict {
    write_state state = write_state::Open;
    revision at; // if Done: the revision of the key, the new one of the guard if that was written
};

// What the answer to an attempt says. A transaction that failed answers with the present
// entries of the keys that it compares, a read of these keys says the same.
write_verdict judgeWrite(const guarded_write& write, const result<kv_answer>& answer);

const kv_entry* findEntry(const kv_answer& answer, std::string_view key);

} // namespace lovagerail
