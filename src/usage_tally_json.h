// Usage counts as instances tell each other and the store keeps them.
//
// Texts that aren't well formed are refused whole: a count that is read as zero would be
// reported as the truth.
#pragma once

#include "usage_tally.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerail {

// The sealed sum of a window.
std::string encodeCounts(const usage_counts& counts);
std::optional<usage_counts> decodeCounts(std::string_view text);

// What an instance knows of one window.
std::string encodeOrigins(const usage_by_origin& counts);
std::optional<usage_by_origin> decodeOrigins(std::string_view text);

// The same of several windows, by their numbers.
std::string encodeCopy(const std::map<std::uint64_t, usage_by_origin>& windows);
std::optional<std::map<std::uint64_t, usage_by_origin>> decodeCopy(std::string_view text);

} // namespace lovagerail
