// Validation of a complete configuration before it is written to the key-value service.
//
// All faults are collected and reported together. An error rejects the change; a warning is
// only shown. Costs O(objects x selectors).
#pragma once

#include "config.h"

#include <string>
#include <vector>

namespace lovagerail {

enum class fault_severity {
    Error,
    Warning,
};

struct config_fault {
    fault_severity severity = fault_severity::Error;
    object_ref object;
    std::string field; // may be empty
    std::string detail;
};
// One line, e.g. "error: route/stock: targets: matches no target pool".
std::string toString(const config_fault& fault);

// Checks a configuration. Returns errors before warnings, each ordered by object.
std::vector<config_fault> checkConfig(const config& candidate);
// Checks rules on the change itself: withdrawn keys stay withdrawn, account, salt and digest
// of a key never change, and a key is withdrawn before it is deleted.
std::vector<config_fault> checkChange(const config& before, const config_change& change);

bool hasErrors(const std::vector<config_fault>& faults);

} // namespace lovagerail
