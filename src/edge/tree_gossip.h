// Sends news to the neighbours in the tree of platform_view. An instance that passes on what
// is new to it makes the news reach all instances.
#pragma once

#include "edge/platform_view.h"

#include <string>
#include <string_view>

namespace lovagerail::edge {

// Posts the body to this path of each neighbour; a failure is logged and not retried.
void sendToNeighbours(context& shared, const platform_view& platformView, const std::string& path, const std::string& body, std::string_view step);

} // namespace lovagerail::edge
