// What the serving and the control thread tell each other.
#pragma once

#include "http/server.h"
#include "serving.h"

#include <variant>
#include <vector>

namespace lovagerail::daemon {

// --- Control to serving ---

struct new_config {
    config_ptr inForce;
};
struct new_denials {
    std::vector<deny_mark> marks;
};
struct new_targets {
    std::vector<listed_target> rows;
};
struct cancel_job {
    job_id job;
};
struct serving_mode {
    bool cutOff = false;
    bool draining = false;
};
// Marks of suspects that other instances told.
struct suspect_marks_in {
    std::vector<blame_mark> marks;
};
// Leased shares of accounts' limits, for this instance among others.
struct account_shares_in {
    std::vector<account_share> shares;
};
// How many instances are live; limits without leased shares are divided by it.
struct instance_count {
    std::uint32_t count = 1;
};
using to_serving = std::variant<new_config, new_denials, new_targets, generation_job, service_job, cancel_job, serving_mode, suspect_marks_in,
    account_shares_in, instance_count>;

// --- Serving to control ---

struct trainer_call_in {
    trainer_request request;
    http::exchange_ptr answer;
};
struct served_versions {
    // What live targets report, for the rollouts that they may serve.
    std::vector<std::pair<target_id, weight_version>> versions;
};
// Work of this instance at one target.
struct target_work {
    target_id target;
    std::uint32_t open = 0; // above 0
    double perTarget = 1; // requests that it does at a time, as learned
};
struct serving_state {
    std::size_t open = 0;
    serving_counts counts;
    std::vector<target_work> work; // by target, those with work alone
};
// Marks of suspects that changed here, for all other instances.
struct suspect_marks_out {
    std::vector<blame_mark> marks;
};
// What accounts asked of this instance, for the instance that divides limits.
struct account_demand_out {
    demand_report report;
};
using to_control = std::variant<trainer_call_in, job_news, serving_record, served_versions, serving_state, suspect_marks_out, account_demand_out>;

} // namespace lovagerail::daemon
