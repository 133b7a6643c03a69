// Rollouts: coordinates the runs whose lease this instance holds, and forwards trainers' calls
// for other runs to the coordinators of those.
#pragma once

#include "daemon/control_context.h"
#include "daemon/lease_duty.h"
#include "daemon/operator_duty.h"
#include "daemon/payload_duty.h"
#include "daemon/peer_duty.h"
#include "run.h"
#include "stragglers.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace lovagerail::daemon {

class status_api;
class weight_duty;

class run_duty {
public:
    run_duty(control_context& context, lease_duty& leases, peer_duty& peers, payload_duty& payloads, status_api& status, weight_duty& weights);

    static duty_id dutyOf(const std::string& run) { return duty_id("run-" + run); }
    std::set<duty_id> duties() const;

    void addTo(operator_duty& api);
    // Handles a trainer's call that arrived at this instance.
    void onTrainer(const trainer_exchange& in);
    void onJob(const job_event& update);
    void onVersions(const served_versions& versions);
    void tick();

private:
    // A call of a trainer, received from the trainer itself or forwarded by another instance.
    struct pending_call {
        http::exchange_ptr exchange;
        std::string method;
        std::string run;
        std::string verb; // the part of the path after the run's name
        std::string query;
        std::string body;
        instant expiresAt {};
    };
    // The text of a sample while it is being generated and judged.
    struct sample_text {
        stream_id stream;
        std::string prompt;
        std::string text;
        std::uint32_t tokens = 0;
        std::string finishReason;
        double score = 0;
        bool judged = false;
    };
    struct job_state {
        std::string run;
        stream_id stream;
        bool isJudgeCall = false;
    };
    struct active_run {
        std::string name;
        fencing_number fencing;
        run_coordinator coordinator;
        std::map<trainer_call, pending_call> calls;
        std::map<slot_id, sample_text> texts;
        std::map<stream_id, job_id> generating;
        std::map<stream_id, job_id> judging;
        std::set<stream_id> fetchingPrompts; // streams whose prompt is being fetched
        std::set<payload_holder> holders; // payload holders that were live at the last check
        instant nextVersionNotice {};
    };
    using run_ptr = std::shared_ptr<active_run>;

    void start(const std::string& name, fencing_number fencing);
    void stop(const std::string& name);
    run_settings settingsOf(const run& configured) const;
    bool isCurrent(const run_ptr& item) const;

    void handle(const pending_call& call);
    void forwardToCoordinator(const pending_call& call);
    void onForward(const http::exchange_ptr& exchange);
    void onGroups(const run_ptr& item, const pending_call& call);
    void onVersion(const run_ptr& item, const pending_call& call);
    void onBatch(const run_ptr& item, pending_call call);
    void repeatVersionNotice(const run_ptr& item);
    void onState(const run_ptr& item, const pending_call& call) const;
    trainer_call registerCall(const run_ptr& item, const pending_call& call);
    void expireCalls(const run_ptr& item);
    std::optional<pending_call> finishCall(const run_ptr& item, trainer_call call);

    void handleEvent(const run_ptr& item, const run_event& event);
    void execute(const run_ptr& item, const std::vector<run_action>& actions);
    void execute(const run_ptr& item, const cancel_stream& action);
    void execute(const run_ptr& item, const call_judge& action);
    void execute(const run_ptr& item, const cancel_judge& action);
    void execute(const run_ptr& item, const store_payload& action);
    void execute(const run_ptr& item, const write_ledger& action);
    void execute(const run_ptr& item, const confirm_ledger& action);
    void execute(const run_ptr& item, const read_ledger& action);
    void execute(const run_ptr& item, const answer_batch& action);
    void execute(const run_ptr& item, const answer_not_yet& action);
    void execute(const run_ptr& item, const answer_accepted& action);
    void execute(const run_ptr& item, const answer_refused& action);
    void execute(const run_ptr& item, const drop_payloads& action);
    void execute(const run_ptr& item, const resign& action);

    void dispatch();
    void fetchPrompt(const run_ptr& item, const dispatch_slot& slot);
    void startGeneration(const run_ptr& item, const dispatch_slot& slot, std::string prompt);
    void onStreamChunk(const run_ptr& item, const job_state& job, const stream_chunk& chunk);
    void onGenerated(const run_ptr& item, const job_state& job, const job_event& update);
    void onJudged(const run_ptr& item, const job_state& job, const job_event& update);
    void reportLostHolders(const run_ptr& item);
    Json::Value stateOf(const active_run& item) const;

    control_context& m_context;
    lease_duty& m_leases;
    peer_duty& m_peers;
    payload_duty& m_payloads;
    status_api& m_status;
    weight_duty& m_weights;
    run_scheduler m_scheduler;
    std::map<std::string, run_ptr> m_runs;
    std::map<job_id, job_state> m_jobs;
    std::map<target_id, weight_version> m_versions;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastCall = 0;
    instant m_nextTick {};
};

} // namespace lovagerail::daemon
