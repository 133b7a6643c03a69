// Replays a trace against real daemons and checks stated outcomes.
#pragma once

#include "trace.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerail::ctl {

struct replay_options {
    std::vector<std::string> entries; // callers' base URLs
    std::vector<std::string> entriesB; // of the other side of a comparison, may be empty
    std::map<std::string, std::string> keys; // account to raw key
    std::map<std::string, std::string> paths; // route to path, e.g. "completions" to "/v1/completions"
    std::string model = "model";
    double speed = 1; // arrivals are that much closer together
    bool progress = true;
};

// What callers saw of one side.
struct replay_figures {
    std::map<std::string, double> values; // by metric; see metricNames()
};

struct stated_outcome {
    std::string metric;
    std::optional<double> atMost;
    std::optional<double> atLeast;
};

// requests, answered, not_run, failed, answered_share, worst_account_share,
// p50_first_token_ms, p99_first_token_ms, p99_total_ms, worst_account_p99_ms,
// truncated, wrong_text.
std::vector<std::string> metricNames();

// TOML: [[outcome]] metric = "p99_total_ms" at_most = 2000
result<std::vector<stated_outcome>> readOutcomes(const std::string& file);
// TOML: [keys] account-0 = "lr_..."; [paths] stock = "/stock"
result<void> readReplayKeys(const std::string& file, replay_options& options);

// Runs all requests to their ends. With entriesB each request goes to both sides,
// the first one alternating.
std::vector<replay_figures> replayTrace(const trace& wanted, const replay_options& options);

// Prints the table of outcomes; true if all hold.
bool checkOutcomes(const replay_figures& figures, const std::vector<stated_outcome>& outcomes);
// Prints B's figures as ratios to A's.
void compareSides(const std::vector<replay_figures>& sides);

} // namespace lovagerail::ctl
