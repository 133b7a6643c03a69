// Planning a change of the configuration: from what an operator wants to one
// transaction on the key-value service, or a conflict.
//
// A change is a single transaction of at most 128 operations that compares
// head's mod_revision and that of each object it touches. So it is applied
// whole or not at all, and of operators who race one wins; the other plans
// again on the new configuration, which succeeds unless an object it touches
// was changed since the version it started from.
//
// Why this holds at 39,000 changes a day: that is 0.45 changes a second, each
// one transaction and one watch event, against several hundred writes a second.
// All changes queue on head; with 5 ms a transaction, a loser that plans again
// costs one read and one transaction, so even 20 operators at once need about
// 20 rounds, 0.1 s. History is bounded: each change deletes the entry that is
// historyKept changes old. Bulk edits of up to maxObjectsPerChange objects are
// one change.
#pragma once

#include "config_check.h"
#include "config_layout.h"

#include <map>
#include <variant>

namespace lovagerail {

constexpr std::size_t maxTransactionOperations = 128;
// The others: head, the new history entry, the old history entry's deletion.
constexpr std::size_t maxObjectsPerChange = maxTransactionOperations - 3;
constexpr std::size_t maxValueBytes = 1'000'000;
constexpr std::uint64_t historyKept = 50'000; // changes: more than a day's

struct config_edit {
    std::vector<config_object> puts;
    std::vector<object_ref> deletes;
    // The version that the operator started from, where known; 0 = the object
    // must not exist yet. Objects not named here are taken as they are.
    std::map<object_ref, revision> bases;
    std::string who;
    wall_time when {};
    std::string summary;
};

// A transaction: all comparisons hold and all is done, or nothing is.
struct key_compare {
    std::string key;
    revision modRevision; // 0 = the key doesn't exist
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
    std::string who; // empty if not known
    std::vector<std::string> what; // lines
};
std::string toString(const edit_conflict& conflict);

// One accepted change as kept under history/<n>.
struct history_entry {
    std::uint64_t number = 0;
    revision at; // known from the service when read back
    std::string who;
    wall_time when {};
    std::string summary;
    std::vector<config_object> puts;
    std::vector<object_ref> deletes;
    std::vector<config_object> before; // what the change replaced or deleted
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

// Fixes the versions that the edit starts from, where the operator named none,
// to those in `seen`. To be called once, when the edit arrives: what others
// change between then and a later plan is a conflict, never overwritten.
void fillBases(config_edit& wanted, const config& seen);

// Plans an edit on the configuration in force and its head. `recent` is used to
// name who deleted an object; it may be empty.
edit_outcome planEdit(const config& current, const config_head& head, const config_edit& wanted, std::span<const history_entry> recent = {});

// The objects as they were before the given changes, which must be the newest
// ones without a gap, newest first.
result<std::vector<config_object>> rewind(const config& current, std::span<const history_entry> newestFirst);
// An edit that brings back an older set. Keys are left as they are: a rollback
// never revives one.
config_edit planRollback(const config& current, const std::vector<config_object>& older, std::string who, wall_time when, std::string summary);

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
// By object.
std::vector<diff_line> diff(const config& before, const config& after);

} // namespace lovagerail
