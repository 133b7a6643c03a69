// Coordinator of one run: a pure state machine from events to actions.
//
// Exactly once rests on three rules. All that matters is ordered by the head of
// the ledger, which one compare-and-swap at a time replaces. A batch is answered
// only after a call to the service, begun after the trainer asked, has confirmed
// that the head still says so. And attempts are numbered under the fencing number,
// so that nothing of an earlier coordinator can be taken for something of ours.
//
// After a lost answer or a conflict the ledger is read and taken as the truth;
// that is the same step as a take-over.
//
// O(log n) per event in the slots of the open steps; O(n) at a published version,
// at a seal of the last page, at a hand-over and at a lost holder.
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

    // The next slot to generate, if any may start; asked for when engines have room.
    std::optional<dispatch_slot> takeDispatch(instant now);
    bool hasBacklog() const;

    // Groups of an open step that the trainer has still to supply, or to supply again.
    std::uint32_t missingGroups(step_number step) const;
    bool leading() const { return m_leading; }
    const ledger_head& head() const { return m_head; }
    const run_counts& counts() const { return m_counts; }
    const run_settings& settings() const { return m_settings; }
    // Slots of an open step in each state, by the order of slot_state.
    std::array<std::uint32_t, slotStates> slotsByState(step_number step) const;

private:
    struct slot {
        slot_state state = slot_state::Queued;
        attempt_id attempt; // of the newest try; dead while Queued, unless `resuming`
        bool resuming = false; // Queued with a stream to go on with
        bool stored = false; // Judged, with its payload held
        bool judgeCalled = false; // Judging, and its answer is awaited
        std::uint32_t leg = 0;
        std::uint32_t judgeTries = 0;
        std::uint32_t tries = 0; // attempts that came to nothing since the last seal
        attempt_id lostAttempt; // its payload is known to be lost
        instant due {}; // next timer: retry, or the judge's deadline
        instant since {}; // supplied, or started again
        instant begun {}; // dispatched
        attribution made;
        sample_record candidate; // what the next page will say
        std::optional<sample_record> record; // what the ledger says
    };

    struct step_state {
        std::vector<std::optional<group_record>> groups; // without holders: to be supplied again
        std::vector<slot> slots; // group * groupSize + sample
        std::array<std::uint32_t, slotStates> states {}; // slots in each state; adds up to slots.size()
        std::set<std::uint32_t> ready; // Judged and stored, to be sealed
        instant readySince {};
        bool reopen = false; // handed over, but a payload is lost
    };

    struct queue_entry {
        step_number step;
        std::uint32_t order = 0; // longest first
        std::uint32_t index = 0;
        friend auto operator<=>(const queue_entry&, const queue_entry&) = default;
    };

    struct asked_batch {
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

    // What the head says to the trainer's request.
    enum class asked_verdict {
        Wait,
        Batch,
        Closed, // acknowledged already
        TooFar, // the batch before was never handed over
    };

    // The one call to the service that is in flight.
    struct service_call {
        ledger_call id;
        call_kind kind = call_kind::Read;
        std::uint64_t begun = 0; // event number, to compare with arrivals
        ledger_head planned;
        std::vector<std::pair<slot_id, sample_record>> sealed;
        std::vector<std::pair<step_number, group_record>> groups;
    };

    void on(const groups_supplied& event, instant now);
    void on(const version_published& event, instant now);
    void on(const batch_asked& event, instant now);
    void on(const batch_withdrawn& event, instant now);
    void on(const dispatch_accepted& event, instant now);
    void on(const dispatch_refused& event, instant now);
    void on(const chunk_received& event, instant now);
    void on(const generation_finished& event, instant now);
    void on(const generation_failed& event, instant now);
    void on(const sample_judged& event, instant now);
    void on(const judge_failed& event, instant now);
    void on(const payload_stored& event, instant now);
    void on(const payload_refused& event, instant now);
    void on(const payload_lost& event, instant now);
    void on(const prompt_lost& event, instant now);
    void on(const holder_lost& event, instant now);
    void on(const ledger_confirmed& event, instant now);
    void on(const ledger_unknown& event, instant now);
    void on(const ledger_conflict& event, instant now);
    void on(const ledger_content& event, instant now);
    void on(const taken_over& event, instant now);
    void on(const served_version& event, instant now);
    void on(const tick& event, instant now);

    // Slots and their queue.
    slot* find(const slot_id& id);
    slot* findStream(const stream_id& stream, slot_state state);
    slot_id slotAt(step_number step, std::uint32_t index) const;
    std::uint32_t indexOf(const slot_id& id) const;
    void setState(const slot_id& id, slot& item, slot_state state);
    void setTimer(const slot_id& id, slot& item, instant due);
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
    void lose(const slot_id& id, slot& item, instant now);
    duration backoff(std::uint32_t tries) const;
    std::uint64_t predictedAge(step_number step) const;
    bool mayStart(step_number step) const;
    bool complete(const step_state& state, std::size_t sealing) const;
    void addGroup(step_number step, const group_record& group, instant now);
    void losePrompt(step_number step, group_record& group);
    bool hasGroups(const pending_groups& post) const;

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
    void settleHandedOver(const ledger_step& step, instant now);
    void reopenStep(step_number step, instant now);
    void answerWaiting(instant now);
    bool isFixed(step_number step) const;
    asked_verdict verdict() const;
    void answerPosts(instant now);
    bool conflicts(const pending_groups& post) const;
    void turnAwayAll();
    void answerAsked(instant now);
    void refuse(trainer_call call, error_code code, std::string detail);
    weight_version knownVersion() const;

    run_settings m_settings;
    bool m_leading = false;
    bool m_loaded = false; // the ledger was read since the take-over
    fencing_number m_fencing;
    std::uint64_t m_sequence = 0; // at most attemptsPerLead
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_ledgerCalls = 0;
    std::uint64_t m_confirmed = 0; // a call begun at this event confirmed m_head
    instant m_retryAt {}; // next call to the service not before
    std::uint32_t m_failures = 0; // calls to the service that failed in a row
    revision m_headRevision;
    ledger_head m_head; // as confirmed last
    weight_version m_served;
    std::optional<asked_batch> m_asked;
    std::vector<pending_groups> m_groups;
    std::vector<pending_version> m_versions;
    std::optional<service_call> m_call;
    smoothed_duration m_expected; // from dispatch to stored payload
    smoothed_duration m_cadence; // between published versions
    std::optional<instant> m_lastPublished;
    std::map<step_number, step_state> m_steps;
    std::set<queue_entry> m_queue;
    std::set<std::pair<instant, slot_id>> m_timers;
    run_counts m_counts;
    std::vector<run_action> m_actions;
};

} // namespace lovagerail
