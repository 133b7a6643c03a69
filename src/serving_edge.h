// What passes the edge: headers that targets may see, keys in the wrong place,
// and the form of refusals.
#pragma once

#include "burn.h"
#include "config.h"
#include "serving.h"

#include <map>
#include <string_view>

namespace lovagerail {

// The value of a header, or an empty view; names are in lower case.
std::string_view findHeader(const header_list& headers, std::string_view lowerName);

// Headers that a plain service may see, built from a list of what is allowed.
header_list allowedHeaders(const header_list& headers);

// Whether a key's text stands in the path, query (also encoded), body or any
// header but Authorization.
bool holdsKeyOutsideHeader(const caller_request& request);

// A refusal with a machine-readable outcome: not_run, ran or unknown.
whole_answer refusalAnswer(caller_handle handle, const request_id& id, int status, std::string_view outcome, std::string_view reason,
    std::string_view message, duration retryAfter);

// The accounts' objectives in the form that burn is counted by.
std::map<burn_scope, objective_bounds> burnBounds(const config& inForce);

} // namespace lovagerail
