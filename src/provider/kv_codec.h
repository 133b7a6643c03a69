// Codec between key-value calls (kv.h) and the JSON gateway of the key-value service. All
// assumptions about its wire format are in this file pair.
#pragma once

#include "kv.h"

#include <string>
#include <string_view>

namespace lovagerail::provider {

struct kv_wire_request {
    std::string path;
    std::string body;
};

kv_wire_request encodeCall(const kv_call& call);
// A watch on [key, rangeEnd), starting at revision `from` (0 = now).
kv_wire_request encodeWatch(const std::string& key, const std::string& rangeEnd, revision from);

result<kv_answer> decodeAnswer(const kv_call& call, std::string_view body);
// Decodes one line of a watch's stream.
result<kv_watch_response> decodeWatchResponse(std::string_view line);

} // namespace lovagerail::provider
