// Codec for what engines report about themselves: load reports and KV cache events. All
// assumptions about their wire format are in this file pair; that of completions is in
// generation.h.
#pragma once

#include "error.h"
#include "load.h"
#include "prefix_index.h"

#include <string>
#include <string_view>
#include <vector>

namespace lovagerail::target {

// Decodes an answer of GET /load. The measurement time is `received` minus the lag that the
// report's own timestamp shows at wall-clock time `now`; a report without one counts as
// measured when it was received.
result<load_report> decodeLoad(std::string_view body, const target_id& target, instant received, wall_time now);

// Parses the stream of GET /events into cache events.
class cache_event_reader {
public:
    result<std::vector<cache_event>> feed(std::string_view bytes);

private:
    std::string m_line;
};

} // namespace lovagerail::target
