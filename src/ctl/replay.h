// Replays a recorded trace against real daemons and checks the results against expected outcomes.
#pragma once

#include "trace.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerail::ctl {

struct replay_options {
    std::vector<std::string> entries; // callers' base URLs
    std::vector<std::string> entriesB; // of side B of a comparison, may be empty
    std::map<std::string, std::string> keys; // account to raw key
    std::map<std::string, std::string> paths; // route to path, e.g. "completions" to "/v1/completions"
    std::string model = "model";
    double speed = 1; // factor by which the recorded arrival times are compressed
    bool progress = true;
};

// Results of one side as callers saw them.
struct replay_metrics {
    std::map<std::string, double> values; // by metric; see metricNames()
};

struct expected_outcome {
    std::string metric;
    std::optional<double> atMost;
    std::optional<double> atLeast;
};

// requests, answered, not_run, failed, answered_share, worst_account_share,
// p50_first_token_ms, p99_first_token_ms, p99_total_ms, worst_account_p99_ms,
// truncated.
std::vector<std::string> metricNames();

// TOML: [[outcome]] metric = "p99_total_ms" at_most = 2000
result<std::vector<expected_outcome>> readOutcomes(const std::string& file);
// TOML: [keys] account-0 = "lr_..."; [paths] stock = "/stock"
result<void> readReplayKeys(const std::string& file, replay_options& options);

// Sends all requests and waits for their ends. With entriesB each request goes to both sides;
// the side that gets it first alternates.
std::vector<replay_metrics> replayTrace(const trace& recorded, const replay_options& options);

// Prints the table of outcomes; returns true if all are met.
bool checkOutcomes(const replay_metrics& metrics, const std::vector<expected_outcome>& outcomes);
// Prints the metrics of both sides and the ratio of B to A.
void compareSides(const std::vector<replay_metrics>& sides);

} // namespace lovagerail::ctl
