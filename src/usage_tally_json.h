// JSON encoding of usage counts, as sent between instances and stored in the key-value store.
//
// Malformed text is rejected as a whole: a count that is wrongly read as zero would be
// reported as the true figure.
#pragma once

#include "usage_tally.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerail {

// The final sum of a window, by account.
std::string encodeCounts(const usage_counts& counts);
std::optional<usage_counts> decodeCounts(std::string_view text);

// All counts of one window that an instance knows, by origin and account.
std::string encodeOrigins(const usage_by_origin& counts);
std::optional<usage_by_origin> decodeOrigins(std::string_view text);

// The same for several windows, by window number.
std::string encodeCopy(const std::map<std::uint64_t, usage_by_origin>& windows);
std::optional<std::map<std::uint64_t, usage_by_origin>> decodeCopy(std::string_view text);

} // namespace lovagerail
