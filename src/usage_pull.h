// What the closer of usage windows asks instances, and how they answer.
#pragma once

#include "usage.h"

#include <string>

namespace lovagerail {

// Ask one instance for its segments, and for the copies it holds of `copies`.
struct pull_usage {
    instance_id instance;
    window_number window; // segments of this and earlier windows
    std::vector<usage_position> positions; // sealed so far, of origins it has segments of
    std::vector<usage_origin> copies; // origins whose copies are wanted
};

struct pull_answer {
    usage_origin from;
    std::optional<window_number> closedThrough;
    std::vector<usage_batch> batches; // own, and copies as asked
    std::vector<usage_position> held; // copies it keeps
    std::vector<usage_origin> copies; // as asked
};

Json::Value toJson(const pull_usage& pull);
result<pull_usage> pullUsageFromJson(const Json::Value& json);
Json::Value toJson(const pull_answer& answer);
result<pull_answer> pullAnswerFromJson(const Json::Value& json);

// The instance's side: drops what is sealed and answers. Cut the counter first.
pull_answer answerPull(const pull_usage& pull, usage_counter& counter, usage_copies& copies, wall_time now);

// Where an instance without enough copy holders keeps its unsealed segments:
// put this value each flush interval, and remove the key when it has holders again.
constexpr std::string_view countersPrefix = "/lovagerail/usage/counters/";
std::string countersKey(const usage_origin& origin);
std::string countersValue(const segment_log& log);
result<std::vector<usage_batch>> countersFromValue(std::string_view value);

} // namespace lovagerail
