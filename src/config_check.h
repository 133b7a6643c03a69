// Validation of a whole configuration before it is offered to the service.
//
// Everything is checked and all faults are listed at once. Errors refuse the
// change; warnings are shown and don't. Costs O(objects x selectors).
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
// "error: route/stock: targets: matches no target pool"
std::string toString(const config_fault& fault);

// Faults by object, errors before warnings.
std::vector<config_fault> checkConfig(const config& candidate);
// Rules on the step from one configuration to the next: a withdrawn key stays withdrawn.
std::vector<config_fault> checkChange(const config& before, const config_change& change);

bool hasErrors(const std::vector<config_fault>& faults);

} // namespace lovagerail
