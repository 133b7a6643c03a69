// Plans an operator's edit of the configuration: the result is one transaction on the
// key-value service, or the conflicts with other edits.
//
// A change is a single transaction of at most 128 operations that compares the mod_revision
// of head and of each object it changes. So it is applied completely or not at all, and of
// concurrent edits one succeeds. The others are planned again on the new configuration,
// which succeeds unless an object of the edit has changed since the edit's base revision
// (optimistic concurrency control).
//
// Capacity: 39,000 changes a day are 0.45 changes a second, each one transaction and one
// watch event; the service does several hundred writes a second. All changes contend for
// head: at 5 ms a transaction, an edit that lost costs one more read and one more
// transaction, so even 20 concurrent operators need about 20 rounds, 0.1 s. The history is
// bounded: each change deletes the entry that is historyKept changes old. A bulk edit of up
// to maxObjectsPerChange objects is one change.
#pragma once

#include "config_check.h"
#include "config_layout.h"

#include <map>
#include <variant>

namespace lovagerail {

constexpr std::size_t maxTransactionOperations = 128;
// Three operations are reserved: put head, put the new history entry, delete the oldest one.
constexpr std::size_t maxObjectsPerChange = maxTransactionOperations - 3;
constexpr std::size_t maxValueBytes = 1'000'000;
constexpr std::uint64_t historyKept = 50'000; // changes; more than those of a day

struct config_edit {
    std::vector<config_object> puts;
    std::vector<object_ref> deletes;
    // Revision of each object that the operator's edit is based on, where known; 0 = the
    // object must not exist yet. Objects not named here are not checked for conflicts.
    std::map<object_ref, revision> baseRevisions;
    std::string author;
    wall_time when {};
    std::string summary;
};

// A transaction: the operations are executed only if all comparisons hold.
struct key_compare {
    std::string key;
    revision modRevision; // 0 = the key must not exist
};
struct key_put {
    std::string key;
    std::string value;
};
struct config_transaction {
    std::vector<key_compare> compares; // head first
    std::vector<key_put> puts;
    std::vector<std::string> deletes;
};

struct edit_conflict {
    object_ref object;
    revision changedAt;
    std::string author; // empty if unknown
    std::vector<std::string> what; // one line for each change by others
};
std::string toString(const edit_conflict& conflict);

// One accepted change as kept under history/<n>.
struct history_entry {
    std::uint64_t number = 0;
    revision at; // set from the mod_revision when read back
    std::string author;
    wall_time when {};
    std::string summary;
    std::vector<config_object> puts;
    std::vector<object_ref> deletes;
    std::vector<config_object> before; // previous versions of the objects replaced or deleted
};
std::string encodeHistory(const history_entry& entry);
result<history_entry> decodeHistory(const stored_value& stored);

struct edit_plan {
    config_transaction transaction;
    history_entry audit;
    std::vector<config_fault> warnings;
};
struct no_change { };
using edit_outcome = std::variant<edit_plan, no_change, std::vector<edit_conflict>, std::vector<config_fault>, error>;

// Sets the base revisions that the operator did not name to those in `base`. To be called
// once, when the edit arrives: a change by others between then and a later plan is then a
// conflict and is not overwritten.
void setBaseRevisions(config_edit& wanted, const config& base);

// Plans an edit on the current configuration and its head. `recent` has recent changes, to
// describe conflicts and name who made them; it may be empty.
edit_outcome planEdit(const config& current, const config_head& head, const config_edit& wanted, std::span<const history_entry> recent = {});

// Returns the objects as they were before the given changes, which must be the latest ones
// without a gap, newest first.
result<std::vector<config_object>> rewind(const config& current, std::span<const history_entry> newestFirst);
// Makes an edit that restores an older set of objects. API keys are left as they are, as a
// rollback must never revive a withdrawn key.
config_edit planRollback(const config& current, const std::vector<config_object>& older, std::string author, wall_time when, std::string summary);

enum class diff_kind {
    Added,
    Removed,
    Changed,
};
struct diff_line {
    diff_kind kind = diff_kind::Changed;
    object_ref object;
    std::string detail; // for Changed: "weight: 2 -> 3"

    friend bool operator==(const diff_line&, const diff_line&) = default;
};
std::string toString(const diff_line& line);
// Differences between two configurations, ordered by object.
std::vector<diff_line> diff(const config& before, const config& after);

} // namespace lovagerail
