// Messages between the serving thread and the control thread.
#pragma once

#include "http/server.h"
#include "serving.h"

#include <variant>
#include <vector>

namespace lovagerail::daemon {

// --- Control to serving ---

struct config_update {
    config_ptr inForce;
};
struct denial_update {
    std::vector<deny_mark> marks;
};
struct target_update {
    std::vector<listed_target> rows;
};
struct cancel_job {
    job_id job;
};
struct serving_mode {
    bool cutOff = false;
    bool draining = false;
};
// Marks of requests suspected of crashing targets (quarantine.h), received from other instances.
struct received_suspect_marks {
    std::vector<blame_mark> marks;
};
// Leased shares of the accounts' limits, for this instance and possibly others.
struct received_account_shares {
    std::vector<account_share> shares;
};
// Number of live instances, by which limits without leased shares are divided.
struct instance_count {
    std::uint32_t count = 1;
};
using to_serving = std::variant<config_update, denial_update, target_update, generation_job, service_job, cancel_job, serving_mode, received_suspect_marks,
    received_account_shares, instance_count>;

// --- Serving to control ---

struct trainer_exchange {
    trainer_request request;
    http::exchange_ptr answer;
};
struct served_versions {
    // Weight versions that the live targets report, for the rollouts that they may serve.
    std::vector<std::pair<target_id, weight_version>> versions;
};
// This instance's open requests at one target.
struct target_work {
    target_id target;
    std::uint32_t open = 0; // always above 0 in a message
    double perTarget = 1; // estimated number of requests that it executes concurrently
};
struct serving_state {
    std::size_t open = 0;
    serving_counts counts;
    std::vector<target_work> work; // one entry for each target with open requests
};
// Marks of suspect requests that changed here, to be sent to all other instances.
struct changed_suspect_marks {
    std::vector<blame_mark> marks;
};
// The accounts' demand at this instance, for the instance that divides the limits.
struct account_demand_update {
    demand_report report;
};
using to_control = std::variant<trainer_exchange, job_event, serving_record, served_versions, serving_state, changed_suspect_marks, account_demand_update>;

} // namespace lovagerail::daemon
