// What engines tell of themselves: load reports and cache events. Every
// assumption about their wire format is in this part; completions are in
// generation.h.
#pragma once

#include "error.h"
#include "load.h"
#include "prefix_index.h"

#include <string>
#include <string_view>
#include <vector>

namespace lovagerail::target {

// One answer of GET /load. `received` minus the report's own lag is when it was
// measured; without a lag field it counts as measured when it came.
result<load_report> decodeLoad(std::string_view body, const target_id& asked, instant received, wall_time now);

// Splits the stream of GET /events into cache events.
class cache_event_reader {
public:
    result<std::vector<cache_event>> feed(std::string_view bytes);

private:
    std::string m_line;
};

} // namespace lovagerail::target
