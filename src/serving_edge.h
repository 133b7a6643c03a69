// Translation between HTTP and the serving state machine: headers passed on to targets,
// detection of API keys outside the Authorization header, and the format of refusals.
#pragma once

#include "burn.h"
#include "config.h"
#include "serving.h"

#include <map>
#include <string_view>

namespace lovagerail {

// The value of a header, or an empty view; names are in lower case.
std::string_view findHeader(const header_list& headers, std::string_view lowerName);

// The headers that are passed on to a plain service, filtered by an allow-list.
header_list allowedHeaders(const header_list& headers);

// Whether an API key occurs in the path or query (plain or percent-encoded), the body or
// any header other than Authorization.
bool containsKeyOutsideHeader(const caller_request& request);

// A refusal with a machine-readable outcome: not_run, ran or unknown.
complete_answer makeRefusal(caller_handle handle, const request_id& id, int status, std::string_view outcome, std::string_view reason,
    std::string_view message, duration retryAfter);

// The accounts' service-level objectives, as bounds for counting error-budget burn.
std::map<burn_scope, objective_bounds> burnBounds(const config& inForce);

} // namespace lovagerail
