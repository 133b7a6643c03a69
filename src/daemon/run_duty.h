// Rollouts: coordinates the runs whose duty this instance holds, and passes
// trainers' calls for other runs on to their coordinators.
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
    // A trainer's call that came to this instance.
    void onTrainer(const trainer_call_in& call);
    void onJob(const job_news& news);
    void onVersions(const served_versions& versions);
    void tick();

private:
    // A call of a trainer, from its own connection or passed on by another instance.
    struct call_in {
        http::exchange_ptr exchange;
        std::string method;
        std::string run;
        std::string verb; // what follows the run's name in the path
        std::string query;
        std::string body;
        instant giveUpAt {};
    };
    // The text of a sample while it is made and judged.
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
        bool judge = false;
    };
    struct active_run {
        std::string name;
        fencing_number fencing;
        run_coordinator machine;
        std::map<trainer_call, call_in> calls;
        std::map<slot_id, sample_text> texts;
        std::map<stream_id, job_id> generating;
        std::map<stream_id, job_id> judging;
        std::set<stream_id> preparing; // prompts on their way
        std::set<payload_holder> holders; // seen live
    };
    using run_ptr = std::shared_ptr<active_run>;

    void start(const std::string& name, fencing_number fencing);
    void stop(const std::string& name);
    run_settings settingsOf(const run& configured) const;
    bool ours(const run_ptr& item) const;

    void handle(const call_in& call);
    void passOn(const call_in& call);
    void onForward(const http::exchange_ptr& exchange);
    void onGroups(const run_ptr& item, const call_in& call);
    void onVersion(const run_ptr& item, const call_in& call);
    void onBatch(const run_ptr& item, call_in call);
    void onState(const run_ptr& item, const call_in& call) const;
    trainer_call hold(const run_ptr& item, const call_in& call);
    void giveUp(const run_ptr& item);
    std::optional<call_in> finishCall(const run_ptr& item, trainer_call call);

    void feed(const run_ptr& item, const run_event& event);
    void act(const run_ptr& item, const std::vector<run_action>& actions);
    void act(const run_ptr& item, const cancel_stream& action);
    void act(const run_ptr& item, const call_judge& action);
    void act(const run_ptr& item, const cancel_judge& action);
    void act(const run_ptr& item, const store_payload& action);
    void act(const run_ptr& item, const write_ledger& action);
    void act(const run_ptr& item, const confirm_ledger& action);
    void act(const run_ptr& item, const read_ledger& action);
    void act(const run_ptr& item, const answer_batch& action);
    void act(const run_ptr& item, const answer_not_yet& action);
    void act(const run_ptr& item, const answer_accepted& action);
    void act(const run_ptr& item, const answer_refused& action);
    void act(const run_ptr& item, const drop_payloads& action);
    void act(const run_ptr& item, const resign& action);

    void dispatch();
    void prepare(const run_ptr& item, const dispatch_slot& slot);
    void sendJob(const run_ptr& item, const dispatch_slot& slot, std::string prompt);
    void onPiece(const run_ptr& item, const job_state& job, const stream_piece& piece);
    void onGenerated(const run_ptr& item, const job_state& job, const job_news& news);
    void onJudged(const run_ptr& item, const job_state& job, const job_news& news);
    void noteHolders(const run_ptr& item);
    Json::Value stateOf(const active_run& item) const;

    control_context& m_context;
    lease_duty& m_leases;
    peer_duty& m_peers;
    payload_duty& m_payloads;
    status_api& m_status;
    weight_duty& m_weights;
    run_share m_share;
    std::map<std::string, run_ptr> m_runs;
    std::map<job_id, job_state> m_jobs;
    std::map<target_id, weight_version> m_versions;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastCall = 0;
    instant m_nextTick {};
};

} // namespace lovagerail::daemon
