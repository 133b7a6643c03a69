// The key-value service's JSON gateway: calls to bodies, bodies to answers.
// Every assumption about its wire format is in this part.
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
// A watch on [key, rangeEnd) from a revision on (0 = from now).
kv_wire_request encodeWatch(const std::string& key, const std::string& rangeEnd, revision from);

result<kv_answer> decodeAnswer(const kv_call& call, std::string_view body);
// One line of a watch's stream.
result<kv_news> decodeNews(std::string_view line);

} // namespace lovagerail::provider
