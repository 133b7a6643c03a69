// The words of one run's state machine: settings, slot states, events and actions.
//
// Slot:  Queued -> Dispatched -> Generating -> Judging -> Judged -> Sealed
//        -> HandedOver -> Acknowledged
// Back to Queued under a new attempt: expired, unusable, failed for good, judge
// outcome unknown, payload lost. Back to Queued under the same attempt: refused
// dispatch, and an interrupted stream that can be resumed (next leg).
#pragma once

#include "attribution.h"
#include "ledger.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagerail {

enum class slot_state : std::uint8_t {
    Queued,
    Dispatched,
    Generating,
    Judging, // whole; the judge was called
    Judged, // the payload is being stored, or waits for its seal
    Sealed,
    HandedOver,
};

constexpr std::size_t slotStates = 7;

// What became of a call that ended without an answer we can use.
enum class call_outcome {
    NotRun,
    Ran, // it ran and failed
    Unknown,
};

struct run_settings {
    run_id run;
    std::string keyPrefix = "/lovagerail/";
    std::uint32_t groupSize = 8;
    std::uint32_t groupsPerStep = 1'024;
    // Largest age, in versions, at hand-over.
    std::uint64_t stalenessBound = 1;
    // Steps beyond the one being asked for that may start early.
    std::uint32_t earlySteps = 1;
    // A page is written when so many records wait ...
    std::uint32_t sealBatch = 1'024;
    // ... or when one has waited so long.
    duration sealWait = std::chrono::seconds(60);
    bool judgeRepeatable = false;
    duration judgeTimeout = std::chrono::seconds(60);
    std::uint32_t judgeTries = 3;
    // Shortest and longest wait before the next try.
    duration backoffFloor = std::chrono::milliseconds(200);
    duration backoffCeiling = std::chrono::seconds(30);
    // "Not yet" is answered after so long.
    duration longestWait = std::chrono::seconds(30);
    // A waiting slot gains one priority level per so long.
    duration priorityStep = std::chrono::seconds(30);
};

// Steps beyond the acknowledged one for which groups are taken.
constexpr std::uint64_t suppliedAhead = 8;

// An attempt's number is the fencing number, then a sequence of so many bits. A lead
// whose sequence is used up resigns; at 8,192 attempts in 6 minutes after 4 months.
constexpr unsigned attemptSequenceBits = 28;
constexpr std::uint64_t attemptsPerLead = (std::uint64_t(1) << attemptSequenceBits) - 1;

// Identity of one stream: late events of an earlier one are ignored.
struct stream_id {
    slot_id slot;
    attempt_id attempt;
    std::uint32_t leg = 0; // grows with each resumption

    friend auto operator<=>(const stream_id&, const stream_id&) = default;
};

// A trainer's call that waits for an answer.
using trainer_call = number_id<struct trainer_call_tag>;
// One call to the key-value service.
using ledger_call = number_id<struct ledger_call_tag>;

// --- Events ---

// Groups whose prompts are held already.
struct groups_supplied {
    trainer_call call;
    step_number step;
    std::vector<group_record> groups;
};
struct version_published {
    trainer_call call;
    weight_version version;
};
// Asks for batch `cursor` and acknowledges the one before.
struct batch_asked {
    trainer_call call;
    step_number cursor;
};
// The trainer waits no longer: nothing is handed over to a request that is gone.
struct batch_withdrawn {
    trainer_call call;
};
struct dispatch_accepted {
    stream_id stream;
};
struct dispatch_refused {
    stream_id stream;
};
struct chunk_received {
    stream_id stream;
    engine_chunk chunk;
};
struct generation_finished {
    stream_id stream;
    std::uint32_t tokens = 0; // of the whole completion, earlier legs included
};
struct generation_failed {
    stream_id stream;
    bool resumable = false; // the tokens so far are kept and may be continued
};
struct sample_judged {
    stream_id stream;
};
struct judge_failed {
    stream_id stream;
    call_outcome outcome = call_outcome::Unknown;
};
struct payload_stored {
    stream_id stream;
    payload_digest payload;
    std::vector<payload_holder> holders;
};
// Storing failed; the payload may be stored again.
struct payload_refused {
    stream_id stream;
};
// No holder has this attempt's payload any more.
struct payload_lost {
    slot_id slot;
    attempt_id attempt;
};
// No holder has this group's prompt any more; sent before the dispatch is refused.
struct prompt_lost {
    step_number step;
    group_number group;
};
// A holder's copies are gone.
struct holder_lost {
    payload_holder holder;
};
struct ledger_confirmed {
    ledger_call call;
    revision headRevision; // the head's new revision
};
// The answer was lost: the write may have taken effect or may yet.
struct ledger_unknown {
    ledger_call call;
};
struct ledger_conflict {
    ledger_call call;
};
// Head and pages as of one revision; an empty head means that the run is new.
struct ledger_content {
    ledger_call call;
    revision headRevision; // 0 if there is no head
    std::string head;
    std::vector<std::pair<std::string, std::string>> pages; // key and value
    std::vector<payload_holder> holders; // live at the time
};
// This process holds the run's lease under this number.
struct taken_over {
    fencing_number fencing;
};
// Targets that serve the run report this as their oldest version.
struct served_version {
    weight_version version;
};
struct tick {
};

using run_event = std::variant<groups_supplied, version_published, batch_asked, batch_withdrawn, dispatch_accepted, dispatch_refused,
    chunk_received, generation_finished, generation_failed, sample_judged, judge_failed, payload_stored, payload_refused,
    payload_lost, prompt_lost, holder_lost, ledger_confirmed, ledger_unknown, ledger_conflict, ledger_content, taken_over,
    served_version, tick>;

// --- Actions ---

struct dispatch_slot {
    stream_id stream;
    payload_digest prompt;
    std::vector<payload_holder> promptHolders;
    std::uint32_t maxTokens = 0;
    std::uint32_t resumeFrom = 0; // tokens kept from earlier legs
    std::int32_t priority = 0; // lower first, as engines take it
    std::uint64_t predictedAge = 0; // versions at hand-over
};
struct cancel_stream {
    stream_id stream;
};
struct call_judge {
    stream_id stream;
};
// Stop waiting for the judge; its late answer is ignored.
struct cancel_judge {
    stream_id stream;
};
struct store_payload {
    stream_id stream;
    std::vector<version_span> spans;
};
// One transaction: if the head's revision is as expected, put and remove these.
struct write_ledger {
    ledger_call call;
    revision expected; // 0: the head must not exist
    std::string headKey;
    std::string head;
    std::vector<std::pair<std::string, std::string>> pages;
    std::vector<std::string> removedPrefixes; // remove the keys below each
};
// A transaction that only compares the head's revision.
struct confirm_ledger {
    ledger_call call;
    revision expected;
    std::string headKey;
};
// Read the head and all pages at one revision.
struct read_ledger {
    ledger_call call;
    std::string headKey;
    std::string pagesPrefix;
};
struct answer_batch {
    trainer_call call;
    step_number cursor;
    std::uint32_t generation = 0;
    weight_version handedVersion;
    std::vector<sample_record> samples; // by group and sample
};
struct answer_not_yet {
    trainer_call call;
    duration retryAfter {};
    // Groups of the step that the trainer has still to supply (again).
    std::uint32_t missingGroups = 0;
};
struct answer_accepted {
    trainer_call call;
};
struct answer_refused {
    trainer_call call;
    error reason;
};
// Payloads and prompts of earlier steps are not needed any more.
struct drop_payloads {
    step_number below;
};
// Another coordinator has the run.
struct resign {
};

using run_action = std::variant<cancel_stream, call_judge, cancel_judge, store_payload, write_ledger, confirm_ledger,
    read_ledger, answer_batch, answer_not_yet, answer_accepted, answer_refused, drop_payloads, resign>;

struct run_counts {
    std::uint64_t dispatched = 0;
    std::uint64_t resumed = 0;
    std::uint64_t unusable = 0;
    std::uint64_t expired = 0;
    std::uint64_t lost = 0; // payloads
    std::uint64_t judgeUnknown = 0;
    std::uint64_t handedOver = 0; // samples
    std::uint64_t acknowledged = 0; // samples
    std::uint64_t wastedTokens = 0;
    std::uint64_t ledgerCalls = 0;
};

} // namespace lovagerail
