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

#include <map>
#include <set>

namespace lovagerail {

class run {
public:
    explicit run(run_settings settings);

    std::vector<run_action> handle(const run_event& event, instant now);

    // The next slot to generate, if any may start; asked for when engines have room.
    std::optional<dispatch_slot> takeDispatch(instant now);
    bool hasBacklog(instant now) const;

    bool leading() const { return m_leading; }
    const ledger_head& head() const { return m_head; }
    const run_counts& counts() const { return m_counts; }
    const run_settings& settings() const { return m_settings; }
    // Slots of an open step in each state, by the order of slot_state.
    std::vector<std::uint64_t> slotsByState(step_number step) const;

private:
    struct slot {
        slot_state state = slot_state::Queued;
        bool queued = false; // in m_queue
        bool stored = false; // Judged, with its payload held
        attempt_id attempt; // of the newest try; dead while Queued unless `resuming`
        bool resuming = false;
        std::uint32_t leg = 0;
        std::uint32_t judgeTries = 0;
        std::uint32_t tries = 0;
        attempt_id lostAttempt; // its payload is known to be lost
        instant due {}; // Queued: not before; Judging: judge's deadline or next try
        instant since {}; // when the slot was supplied
        bool judgeCalled = false;
        attribution made;
        sample_record candidate; // what the next page will say
        std::optional<sample_record> record; // what the ledger says
    };

    struct step_state {
        std::vector<std::optional<group_record>> groups;
        std::vector<slot> slots; // group * groupSize + sample
        std::uint32_t supplied = 0;
        std::set<std::uint32_t> ready; // stored, to be sealed
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
        step_number step;
        std::vector<group_record> groups;
    };

    struct pending_version {
        trainer_call call;
        weight_version version;
    };

    enum class call_kind {
        Read,
        Write,
        Confirm,
    };

    // The one call to the service that is in flight.
    struct service_call {
        ledger_call id;
        call_kind kind = call_kind::Read;
        std::uint64_t begun = 0; // event number, to compare with arrivals
        ledger_head planned;
        std::vector<std::pair<slot_id, attempt_id>> sealed;
        std::size_t groups = 0; // pending posts that it covers
    };

    void on(const groups_supplied& event, instant now);
    void on(const version_published& event, instant now);
    void on(const batch_asked& event, instant now);
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
    void enqueue(const slot_id& id, slot& item, instant due);
    void dequeue(const slot_id& id, slot& item);
    void restart(const slot_id& id, slot& item, instant now);
    void stopWork(const slot_id& id, slot& item);
    duration backoff(std::uint32_t tries) const;
    bool mayStart(step_number step) const;
    std::uint64_t predictedAge(step_number step) const;
    void addGroups(step_number step, const std::vector<group_record>& groups, instant now);
    void checkJudge(const slot_id& id, slot& item, instant now);
    void expireSlots(instant now);
    void loseIfUnheld(const slot_id& id, slot& item, instant now);
    void lose(const slot_id& id, slot& item, instant now);

    // The ledger.
    void plan(instant now);
    void planAcknowledge(ledger_head& next, write_ledger& write) const;
    void planGroups(ledger_head& next, write_ledger& write, service_call& call) const;
    void planSeal(ledger_head& next, write_ledger& write, service_call& call, instant now) const;
    void planHandOver(ledger_head& next, const service_call& call) const;
    void addPage(ledger_step& step, const ledger_page& page, write_ledger& write) const;
    void sendRead();
    void adopt(const ledger_content& content, instant now);
    bool adoptStep(const ledger_step& step, const std::map<std::string, std::string>& pages, instant now);
    void applyHead(const ledger_head& head, instant now);
    void settleHandedOver(const ledger_step& step, instant now);
    void answerWaiting(instant now);
    weight_version knownVersion() const;

    run_settings m_settings;
    bool m_leading = false;
    bool m_loaded = false; // the ledger was read since the take-over
    fencing_number m_fencing;
    std::uint32_t m_sequence = 0;
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
    std::map<step_number, step_state> m_steps;
    std::set<queue_entry> m_queue;
    std::set<std::pair<instant, slot_id>> m_timers;
    run_counts m_counts;
    std::vector<run_action> m_actions;
};

} // namespace lovagerail
