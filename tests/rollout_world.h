// Simulates the environment of a run's coordinators: key-value service, engines, judge,
// payload holders and a trainer, each of which may fail. Every operation in progress is a
// pending item; the seed decides which one continues next, and how it ends. The simulation
// records what really happened and checks the invariants against that.
#pragma once

#include "run.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>

namespace lovagerail::test {

inline void require(bool holds, const char* what)
{
    if (!holds)
        throw std::runtime_error(what);
}

class rollout_world {
public:
    explicit rollout_world(std::uint64_t seed, run_settings settings = smallRun());

    static run_settings smallRun();

    // Simulates one random event.
    void simulateEvent();
    // Stops all faults, starts a new coordinator and runs everything in turn until this many
    // more steps are acknowledged; throws if there is no progress.
    void runWithoutFaults(std::uint64_t steps);

    bool faults = true;
    bool crashes = true;
    std::uint64_t acknowledgedSteps() const { return m_acknowledged; }
    std::uint64_t repeatedBatches() const { return m_repeats; }
    std::uint64_t reopenedBatches() const { return m_reopened; }
    run_counts counts() const;

private:
    using item = std::function<void()>;

    struct coordinator {
        std::unique_ptr<run_coordinator> machine;
        bool alive = true;
        std::set<stream_id> cancelled;
    };

    struct trainer_request {
        trainer_call call;
        step_number cursor;
        std::uint32_t generation = 0; // of the batch, as in the ledger when the request was made
    };

    struct received_batch {
        std::uint32_t generation = 0;
        std::map<slot_id, attempt_id> attempts;
    };

    std::uint32_t draw(std::uint32_t below) { return static_cast<std::uint32_t>(m_random() % below); }
    bool injectFault(std::uint32_t oneIn) { return faults && draw(oneIn * m_faultRarity) == 0; }
    void takeOver();
    void send(std::size_t coordinatorIndex, const run_event& event);
    void schedule(item next) { m_pending.push_back(std::move(next)); }
    void runPending(std::size_t index);
    std::size_t anyLiveCoordinator();
    void dispatch(std::size_t coordinatorIndex);
    void generate(std::size_t coordinatorIndex, dispatch_slot order, std::uint32_t next, std::uint32_t length);
    void act(std::size_t coordinatorIndex, const write_ledger& action);
    void act(std::size_t coordinatorIndex, const confirm_ledger& action);
    void act(std::size_t coordinatorIndex, const read_ledger& action);
    void act(std::size_t coordinatorIndex, const call_judge& action);
    void act(std::size_t coordinatorIndex, const store_payload& action);
    void act(std::size_t coordinatorIndex, const answer_batch& action);
    void act(std::size_t coordinatorIndex, const answer_not_yet& action);
    void act(std::size_t coordinatorIndex, const answer_accepted& action);
    void act(std::size_t coordinatorIndex, const answer_refused& action);
    void act(std::size_t coordinatorIndex, const cancel_stream& action) { m_coordinators[coordinatorIndex].cancelled.insert(action.stream); }
    void act(std::size_t, const cancel_judge&) { }
    void act(std::size_t, const drop_payloads& action) { m_droppedBelow = std::max(m_droppedBelow, action.below); }
    void act(std::size_t coordinatorIndex, const resign&) { m_coordinators[coordinatorIndex].alive = false; }

    bool apply(std::size_t coordinatorIndex, const write_ledger& write);
    void checkHead(const ledger_head& before, const ledger_head& after, fencing_number writer);
    std::map<slot_id, sample_record> recordsOf(const ledger_step& step) const;
    void checkSample(const slot_id& id, const sample_record& sample, weight_version version) const;
    bool isHeld(const std::vector<payload_holder>& holders, const payload_digest& digest) const;
    std::vector<payload_holder> storePayload(const payload_digest& digest);
    void crashHolders();
    void supplyGroups();
    void publishVersion();
    void requestBatch();
    void receive(const answer_batch& batch);

    run_settings m_settings;
    std::mt19937_64 m_random;
    std::uint32_t m_faultRarity = 1; // factor by which faults are made rarer
    instant m_now {};
    std::vector<coordinator> m_coordinators;
    std::uint64_t m_fencing = 0;
    std::vector<item> m_pending;

    std::uint64_t m_revision = 0;
    std::uint64_t m_headRevision = 0;
    std::map<std::string, std::string> m_values;
    ledger_head m_head;

    weight_version m_engineVersion { 1 };
    std::map<stream_id, std::vector<weight_version>> m_tokenVersions; // version of each token
    std::map<attempt_id, stream_id> m_interruptedStream; // to be resumed by the next leg
    std::map<attempt_id, std::uint32_t> m_currentLeg;
    std::set<attempt_id> m_attempts;
    std::map<attempt_id, std::uint32_t> m_judged; // calls that ran or may have run
    std::vector<payload_holder> m_holders;
    std::map<payload_holder, std::set<payload_digest>> m_copies;
    step_number m_droppedBelow;

    std::uint64_t m_lastCall = 0;
    step_number m_cursor;
    std::optional<trainer_request> m_request;
    weight_version m_publishedVersion { 1 };
    weight_version m_acceptedVersion; // newest version whose acceptance was reported to the trainer
    std::map<trainer_call, weight_version> m_versionCalls;
    std::map<step_number, received_batch> m_received;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_repeats = 0;
    std::uint64_t m_reopened = 0;
};

} // namespace lovagerail::test
