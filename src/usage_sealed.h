// Sealed usage windows: the final figures of a window, their JSON encoding, and the
// reports that are made from them.
#pragma once

#include "usage.h"

#include <string>

namespace lovagerail {

// Sealed figures of one account: those of the window itself, and late ones by the earlier
// window that they belong to.
struct account_usage {
    std::map<usage_key, usage_figures> figures;
    std::map<window_number, std::map<usage_key, usage_figures>> late;
    friend bool operator==(const account_usage&, const account_usage&) = default;
};

// Two sums that should be equal but are not. Requests are not compared, as a request may
// take several attempts.
struct usage_difference {
    target_id target; // empty if the sum over accounts differs from the sum over targets
    usage_figures counted; // sum over accounts, or counted here for this target
    usage_figures reported; // sum over targets, or reported by this target
    friend bool operator==(const usage_difference&, const usage_difference&) = default;
};
constexpr std::size_t maxStoredDifferences = 64;

// Up to where the segments of one origin are sealed.
struct origin_position {
    segment_number next; // segments below are included in this or an earlier sealed window
    window_number lastSeen; // the last window in which the origin answered or a copy of it was listed
    friend bool operator==(const origin_position&, const origin_position&) = default;
};

struct sealed_window {
    window_number window;
    std::map<client_account_id, account_usage> accounts;
    std::map<usage_origin, origin_position> included;
    usage_figures total; // of all accounts, including late usage and retries
    std::vector<usage_difference> differences; // the first ones, in the order of targets
    std::uint64_t differenceCount = 0;
    std::vector<instance_id> missing; // live instances that had not answered by the deadline
    friend bool operator==(const sealed_window&, const sealed_window&) = default;
};

// Adds a batch to the window's figures, or to its late usage if it is of an earlier window.
void addBatch(sealed_window& sealed, const usage_batch& batch);
// Records differences between the sums over accounts and over targets, and between the
// counts of each target and its own report.
void compareSums(sealed_window& sealed, const std::map<target_id, target_usage>& targets);

// Deterministic: equal windows give equal text.
std::string encodeSealed(const sealed_window& sealed);
result<sealed_window> decodeSealed(std::string_view text);

// Usage report of one account and window to the platform. The body is made only from the
// sealed window, so every retry, also by a later holder of the duty, sends equal figures.
struct report_usage {
    client_account_id account;
    window_number window;
    fencing_number fencing;
    std::string digest; // SHA-256 in hex over account, window, figures and late
    Json::Value figures;
    Json::Value late;
};
// Sorted by account.
std::vector<report_usage> reportsOf(const sealed_window& sealed, fencing_number fencing);

} // namespace lovagerail
