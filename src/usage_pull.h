// Request and answer by which the usage closer (usage_window.h) collects segments from
// the instances.
#pragma once

#include "usage.h"

#include <string>

namespace lovagerail {

// Asks one instance for its own segments, and for its copies of the segments of other origins.
struct pull_usage {
    instance_id instance;
    window_number window; // asks for segments of this and earlier windows
    std::vector<usage_position> positions; // how far each origin that the instance has segments of is sealed
    std::vector<usage_origin> copies; // origins whose copies are requested
};

struct pull_answer {
    usage_origin from;
    std::optional<window_number> closedThrough;
    std::vector<usage_batch> batches; // own segments and the requested copies
    std::vector<usage_position> held; // all copies that the instance stores
    std::vector<usage_origin> copies; // as in the request
};

Json::Value toJson(const pull_usage& pull);
result<pull_usage> pullUsageFromJson(const Json::Value& json);
Json::Value toJson(const pull_answer& answer);
result<pull_answer> pullAnswerFromJson(const Json::Value& json);

// Runs on the instance: drops sealed segments and builds the answer. Close the open
// segment of the counter before the call, or its counts are left out.
pull_answer answerPull(const pull_usage& pull, usage_counter& counter, usage_copies& copies, wall_time now);

// Key and value under which an instance without enough copy holders stores its unsealed
// segments in the key-value service. Written once per flush interval; the key is removed
// when the instance has copy holders again.
constexpr std::string_view countersPrefix = "/lovagerail/usage/counters/";
std::string countersKey(const usage_origin& origin);
std::string countersValue(const segment_log& log);
result<std::vector<usage_batch>> countersFromValue(std::string_view value);

} // namespace lovagerail
