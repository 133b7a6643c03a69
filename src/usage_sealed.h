// Sealed usage windows: their figures, their text form, and the reports made from them.
#pragma once

#include "usage.h"

#include <string>

namespace lovagerail {

// Sealed figures of one account: its own window, and late ones by the window they belong to.
struct account_usage {
    std::map<usage_key, usage_figures> figures;
    std::map<window_number, std::map<usage_key, usage_figures>> late;
    friend bool operator==(const account_usage&, const account_usage&) = default;
};

// Sums that ought to be equal and aren't. Requests aren't compared: a request
// may take several attempts.
struct usage_difference {
    target_id target; // empty: the sum over accounts against the sum over targets
    usage_figures counted; // by account, or by us at this target
    usage_figures reported; // by target, or by the target itself
    friend bool operator==(const usage_difference&, const usage_difference&) = default;
};
constexpr std::size_t differencesKept = 64;

// How far the segments of one origin are sealed.
struct origin_mark {
    segment_number next; // segments below are in this or an earlier sealed window
    window_number heard; // the last window in which the origin or a copy of it was heard of
    friend bool operator==(const origin_mark&, const origin_mark&) = default;
};

struct sealed_window {
    window_number window;
    std::map<client_account_id, account_usage> accounts;
    std::map<usage_origin, origin_mark> included;
    usage_figures total; // of all accounts, late ones and retries included
    std::vector<usage_difference> differences; // the first ones, in order of targets
    std::uint64_t differenceCount = 0;
    std::vector<instance_id> missing; // live instances that did not answer in time
    friend bool operator==(const sealed_window&, const sealed_window&) = default;
};

// Adds up the batches, each under its own window or as late.
void addBatch(sealed_window& sealed, const usage_batch& batch);
// Compares the sums over accounts and over targets, and each target with its own report.
void compareSums(sealed_window& sealed, const std::map<target_id, target_usage>& targets);

// Equal windows give equal text.
std::string encodeSealed(const sealed_window& sealed);
result<sealed_window> decodeSealed(std::string_view text);

// One report to the platform's usage sink. The body is made from sealed figures alone.
struct report_usage {
    client_account_id account;
    window_number window;
    fencing_number fencing;
    std::string digest; // SHA-256 in hex of account, window, figures and late
    Json::Value figures;
    Json::Value late;
};
// In the order of accounts.
std::vector<report_usage> reportsOf(const sealed_window& sealed, fencing_number fencing);

} // namespace lovagerail
