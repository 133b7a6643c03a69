// Types of a run's state machine (run.h): settings, slot states, events and actions.
//
// A run is a reinforcement-learning job. Each of its steps consists of groups, one prompt
// each, and each group of samples, one generation each. A slot is the place of one sample
// in its step. Its states are
//   Queued -> Dispatched -> Generating -> Judging -> Judged -> Sealed -> HandedOver
// and it is dropped once the trainer acknowledges the batch. A slot returns to Queued
// - for a new attempt if its sample is too stale or unusable, its generation failed and
//   can't be resumed, the judge's outcome is unknown or its payload was lost;
// - for the same attempt if an interrupted stream can be resumed (the next leg). A
//   dispatch refused before any token was made also returns it, and takes a new attempt.
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
    Judging, // generated completely; the judge scores it
    Judged, // the payload is being stored, or waits to be sealed
    Sealed, // recorded in the ledger
    HandedOver, // part of a batch that was handed to the trainer
};

constexpr std::size_t slotStates = 7;

// Outcome of a call that ended without a usable response.
enum class call_outcome {
    NotRun,
    Ran, // ran and failed
    Unknown,
};

struct run_settings {
    run_id run;
    std::string keyPrefix = "/lovagerail/";
    std::uint32_t groupSize = 8;
    std::uint32_t groupsPerStep = 1'024;
    // Largest age of a sample, in weight versions, when its batch is handed over.
    std::uint64_t stalenessBound = 1;
    // Steps beyond the first unacknowledged one that may start early.
    std::uint32_t earlySteps = 1;
    // A ledger page is written once this many records wait ...
    std::uint32_t sealBatch = 1'024;
    // ... or once a record has waited this long.
    duration sealWait = std::chrono::seconds(60);
    bool judgeIdempotent = false;
    duration judgeTimeout = std::chrono::seconds(60);
    std::uint32_t judgeTries = 3;
    // Shortest and longest delay before a retry.
    duration backoffFloor = std::chrono::milliseconds(200);
    duration backoffCeiling = std::chrono::seconds(30);
    // A trainer's call that can't be answered yet is answered with "not yet" after this time.
    duration maxTrainerWait = std::chrono::seconds(30);
    // A waiting slot gains one priority level per interval of this length.
    duration priorityStep = std::chrono::seconds(30);
};

// Groups are accepted for steps up to this number beyond the first unacknowledged one.
constexpr std::uint64_t maxSuppliedAhead = 8;

// An attempt's number is the fencing number followed by a sequence number of this many
// bits. A coordinator that has used up its sequence resigns; at 8,192 attempts in
// 6 minutes that happens after 4 months.
constexpr unsigned attemptSequenceBits = 28;
constexpr std::uint64_t attemptsPerLead = (std::uint64_t(1) << attemptSequenceBits) - 1;

// Identifies one stream from an engine, so that late events of an earlier one are ignored.
struct stream_id {
    slot_id slot;
    attempt_id attempt;
    std::uint32_t leg = 0; // how often the attempt was resumed

    friend auto operator<=>(const stream_id&, const stream_id&) = default;
};

// Identifies a trainer's call that waits for a response.
using trainer_call = number_id<struct trainer_call_tag>;
// Identifies a call to the key-value service.
using ledger_call = number_id<struct ledger_call_tag>;

// --- Events ---

// The trainer supplied groups; their prompts are stored on holders already.
struct groups_supplied {
    trainer_call call;
    step_number step;
    std::vector<group_record> groups;
};
struct version_published {
    trainer_call call;
    weight_version version;
};
// The trainer requests batch `cursor`, which acknowledges the previous one.
struct batch_requested {
    trainer_call call;
    step_number cursor;
};
// The trainer closed its batch request, so nothing may be handed over to it any more.
struct batch_request_closed {
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
    bool resumable = false; // the tokens so far were kept and can be continued
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
// Storing failed and may be retried.
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
// A payload holder was lost with all copies that it held.
struct holder_lost {
    payload_holder holder;
};
struct ledger_confirmed {
    ledger_call call;
    revision headRevision; // the head's new revision
};
// The response was lost: the write may have taken effect, or may still do so.
struct ledger_unknown {
    ledger_call call;
};
struct ledger_conflict {
    ledger_call call;
};
// Head and pages at one revision; an empty head means that the run is new.
struct ledger_content {
    ledger_call call;
    revision headRevision; // 0 if there is no head
    std::string head;
    std::vector<std::pair<std::string, std::string>> pages; // key and value
    std::vector<payload_holder> holders; // that were live at that time
};
// This instance acquired the run's lease with this fencing number.
struct taken_over {
    fencing_number fencing;
};
// The oldest weight version that targets serving the run report.
struct served_version {
    weight_version version;
};
struct tick {
};

using run_event = std::variant<groups_supplied, version_published, batch_requested, batch_request_closed, dispatch_accepted, dispatch_refused,
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
    std::int32_t priority = 0; // lower is more urgent, as engines define it
    std::uint64_t predictedAge = 0; // in versions, at hand-over
};
struct cancel_stream {
    stream_id stream;
};
struct call_judge {
    stream_id stream;
};
// Stop waiting for the judge; a late response is ignored.
struct cancel_judge {
    stream_id stream;
};
struct store_payload {
    stream_id stream;
    std::vector<version_span> spans;
};
// One transaction: if the head has the expected revision, put the head and pages and
// remove the keys.
struct write_ledger {
    ledger_call call;
    revision expected; // 0: the head must not exist
    std::string headKey;
    std::string head;
    std::vector<std::pair<std::string, std::string>> pages;
    std::vector<std::string> removedPrefixes; // all keys with one of these prefixes are removed
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
    // Number of groups of the step that the trainer still has to supply, or to supply again.
    std::uint32_t missingGroups = 0;
};
struct answer_accepted {
    trainer_call call;
};
struct answer_refused {
    trainer_call call;
    error reason;
};
// Payloads and prompts of steps below this one are no longer needed.
struct drop_payloads {
    step_number below;
};
// Give up the lead: another coordinator has taken the run over, or the attempt numbers
// of this one are used up.
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
