// Coordinator of one reinforcement-learning run: a pure state machine from events to
// actions. It collects the samples of each training step and hands each step's batch to
// the trainer exactly once.
//
// Exactly-once delivery rests on three rules. First, the ledger in the key-value service
// is the only authority; its head is replaced by compare-and-swap, one write at a time.
// Second, a batch is sent only after the service has confirmed that the head is still
// current, in a call made after the trainer's request arrived. Third, attempt numbers
// contain the fencing number, so that results of an earlier coordinator's attempts can't
// be mistaken for results of this one's.
//
// After a lost response or a conflict the ledger is read again and its content replaces
// the local state, exactly as after a take-over.
//
// Cost per event is O(log n) in the slots of the open steps, but O(n) when a version is
// published, the last page is sealed, a batch is handed over or a payload holder is lost.
#pragma once

#include "run_state.h"
#include "stragglers.h"

#include <array>
#include <map>
#include <set>

namespace lovagerail {

class run_coordinator {
public:
    explicit run_coordinator(run_settings settings);

    std::vector<run_action> handle(const run_event& event, instant now);

    // The next slot to generate, if one may start; called when engines have free capacity.
    std::optional<dispatch_slot> takeDispatch(instant now);
    bool hasBacklog() const;

    // Number of groups of an open step that the trainer still has to supply, or to supply again.
    std::uint32_t missingGroups(step_number step) const;
    bool leading() const { return m_leading; }
    const ledger_head& head() const { return m_head; }
    const run_counts& counts() const { return m_counts; }
    const run_settings& settings() const { return m_settings; }
    // Number of slots of an open step in each state, indexed by slot_state.
    std::array<std::uint32_t, slotStates> slotsByState(step_number step) const;

private:
    struct slot {
        slot_state state = slot_state::Queued;
        attempt_id attempt; // the newest; while Queued it has ended, unless `resuming`
        bool resuming = false; // Queued, to resume an interrupted stream
        bool stored = false; // Judged, and payload holders have the payload
        bool judgeCalled = false; // Judging, and waiting for the judge's response
        std::uint32_t leg = 0; // of the attempt; see stream_id
        std::uint32_t judgeTries = 0;
        std::uint32_t tries = 0; // failed attempts since the last seal; sets the backoff
        attempt_id lostAttempt; // its payload is known to be lost
        instant timerAt {}; // when the next timer fires: a retry, or the judge's timeout
        instant queuedSince {}; // when the slot was supplied or last restarted
        instant dispatchedAt {}; // when the attempt was dispatched
        attribution generated; // tokens generated so far and the weight versions that made them
        sample_record candidate; // to be written to the next page
        std::optional<sample_record> record; // as written in the ledger
    };

    struct step_state {
        std::vector<std::optional<group_record>> groups; // one without holders has to be supplied again
        std::vector<slot> slots; // group * groupSize + sample
        std::array<std::uint32_t, slotStates> states {}; // slots in each state; adds up to slots.size()
        std::set<std::uint32_t> ready; // slots that are Judged and stored, to be sealed
        instant readySince {}; // when `ready` last became non-empty
        bool reopen = false; // handed over, but a payload was lost since
    };

    struct queue_entry {
        step_number step;
        std::uint32_t order = 0; // resumed streams first, then the largest token limit
        std::uint32_t index = 0;
        friend auto operator<=>(const queue_entry&, const queue_entry&) = default;
    };

    struct batch_request {
        trainer_call call;
        step_number cursor;
        std::uint64_t arrival = 0;
        instant since {};
    };

    struct pending_groups {
        trainer_call call;
        instant since {};
        step_number step;
        std::vector<group_record> groups;
    };

    struct pending_version {
        trainer_call call;
        instant since {};
        weight_version version;
    };

    enum class call_kind {
        Read,
        Write,
        Confirm,
    };

    // How the trainer's batch request is to be answered according to the head.
    enum class batch_request_verdict {
        Wait, // not ready yet
        Batch, // send the batch
        AlreadyAcknowledged, // the batch was acknowledged already
        OutOfOrder, // the previous batch was never handed over
    };

    // The call to the key-value service in flight; there is at most one.
    struct service_call {
        ledger_call id;
        call_kind kind = call_kind::Read;
        std::uint64_t startedAtEvent = 0; // event number when the call was made, to compare with batch_request::arrival
        ledger_head planned; // the head that a write puts
        std::vector<std::pair<slot_id, sample_record>> sealed;
        std::vector<std::pair<step_number, group_record>> groups;
    };

    void onEvent(const groups_supplied& event, instant now);
    void onEvent(const version_published& event, instant now);
    void onEvent(const batch_requested& event, instant now);
    void onEvent(const batch_request_closed& event, instant now);
    void onEvent(const dispatch_accepted& event, instant now);
    void onEvent(const dispatch_refused& event, instant now);
    void onEvent(const chunk_received& event, instant now);
    void onEvent(const generation_finished& event, instant now);
    void onEvent(const generation_failed& event, instant now);
    void onEvent(const sample_judged& event, instant now);
    void onEvent(const judge_failed& event, instant now);
    void onEvent(const payload_stored& event, instant now);
    void onEvent(const payload_refused& event, instant now);
    void onEvent(const payload_lost& event, instant now);
    void onEvent(const prompt_lost& event, instant now);
    void onEvent(const holder_lost& event, instant now);
    void onEvent(const ledger_confirmed& event, instant now);
    void onEvent(const ledger_unknown& event, instant now);
    void onEvent(const ledger_conflict& event, instant now);
    void onEvent(const ledger_content& event, instant now);
    void onEvent(const taken_over& event, instant now);
    void onEvent(const served_version& event, instant now);
    void onEvent(const tick& event, instant now);

    // Slots and the dispatch queue.
    slot* findSlot(const slot_id& id);
    slot* findByStream(const stream_id& stream, slot_state state);
    slot_id slotAt(step_number step, std::uint32_t index) const;
    std::uint32_t indexOf(const slot_id& id) const;
    void setState(const slot_id& id, slot& item, slot_state state);
    void setTimer(const slot_id& id, slot& item, instant timerAt);
    queue_entry entryOf(const slot_id& id, const slot& item) const;
    void enqueue(const slot_id& id, slot& item, instant now);
    void restart(const slot_id& id, slot& item, instant now);
    void restartLater(const slot_id& id, slot& item, instant now);
    void stopWork(const slot_id& id, slot& item);
    void startJudge(const slot_id& id, slot& item, instant now);
    void judgeEnded(const slot_id& id, slot& item, call_outcome outcome, instant now);
    void runTimer(const slot_id& id, slot& item, instant now);
    void expire(const slot_id& id, slot& item, instant now);
    void expireSlots(instant now);
    void handleLostPayload(const slot_id& id, slot& item, instant now);
    duration backoff(std::uint32_t tries) const;
    std::uint64_t predictedAge(step_number step) const;
    bool mayStart(step_number step) const;
    bool isComplete(const step_state& state, std::size_t sealing) const;
    void addGroup(step_number step, const group_record& group, instant now);
    void handleLostPrompt(step_number step, group_record& group);
    bool areGroupsInLedger(const pending_groups& post) const;

    // The ledger.
    void plan(instant now);
    void planAcknowledge(ledger_head& next, write_ledger& write) const;
    void planGroups(ledger_head& next, write_ledger& write, service_call& call) const;
    void planReopen(ledger_head& next) const;
    void planSeal(ledger_head& next, write_ledger& write, service_call& call, instant now) const;
    void planHandOver(ledger_head& next, const service_call& call) const;
    void addPage(ledger_head& head, step_number step, const ledger_page& page, write_ledger& write) const;
    service_call beginCall(call_kind kind);
    void sendRead();
    void callFailed(instant now, bool wait);
    bool adoptPages(const ledger_content& content, instant now);
    void adoptSample(const slot_id& id, sample_record record, bool handedOver, instant now);
    void applyHead(const ledger_head& before, instant now);
    void dropAcknowledged();
    void sealRecord(const slot_id& id, sample_record record);
    void markHandedOver(const ledger_step& step, instant now);
    void reopenStep(step_number step, instant now);
    void answerWaiting(instant now);
    bool isBatchFinal(step_number step) const;
    batch_request_verdict batchVerdict() const;
    void answerPosts(instant now);
    bool conflictsWithLedger(const pending_groups& post) const;
    void answerAllNotYet();
    void answerBatchRequest(instant now);
    void refuse(trainer_call call, error_code code, std::string detail);
    weight_version knownVersion() const;

    run_settings m_settings;
    bool m_leading = false;
    bool m_ledgerLoaded = false; // the ledger was read since the take-over or the last failed call
    fencing_number m_fencing;
    std::uint64_t m_sequence = 0; // of the last attempt number; at most attemptsPerLead
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_lastLedgerCall = 0;
    std::uint64_t m_confirmedAtEvent = 0; // event number of the latest call that confirmed m_head
    instant m_retryAt {}; // earliest time of the next call to the service
    std::uint32_t m_failures = 0; // consecutive failed calls to the service
    revision m_headRevision;
    ledger_head m_head; // last confirmed
    weight_version m_servedVersion;
    std::optional<batch_request> m_batchRequest;
    std::vector<pending_groups> m_pendingGroups;
    std::vector<pending_version> m_pendingVersions;
    std::optional<service_call> m_callInFlight;
    smoothed_duration m_sampleTime; // time from dispatch to stored payload
    smoothed_duration m_publishInterval; // time between published versions
    std::optional<instant> m_lastPublished;
    std::map<step_number, step_state> m_steps;
    std::set<queue_entry> m_queue;
    std::set<std::pair<instant, slot_id>> m_timers;
    run_counts m_counts;
    std::vector<run_action> m_actions;
};

} // namespace lovagerail
