// Recorded traffic: one line for each request, without texts or keys.
//
// A trace is text. The first line is {"lovagerail_trace": 1, "deployment": ...};
// each other line is a JSON array, in the order of arrival:
//   [arrival_ms, account, route, kind, prompt_bytes, [block hashes in hex],
//    max_tokens, deadline_ms, outcome, first_token_ms, total_ms, tokens]
// kind is c (completion), s (streamed completion) or p (plain call). The outcome
// and what follows are of the recording; they are empty in a generated trace.
// A reader refuses a newer version and skips members behind those it knows.
#pragma once

#include "error.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

constexpr int traceVersion = 1;
constexpr std::size_t tracedBlocks = 8; // hashes of the prompt's first blocks

enum class traced_kind {
    Completion,
    Stream,
    Plain,
};

enum class traced_outcome {
    None, // generated, never run
    Answered,
    NotRun,
    Failed, // ran or unknown, without a whole answer
};

struct trace_record {
    std::chrono::milliseconds arrival { 0 }; // since the trace began
    client_account_id account;
    route_id route;
    traced_kind kind = traced_kind::Stream;
    byte_count promptBytes;
    std::vector<std::uint64_t> blocks;
    std::uint32_t maxTokens = 0;
    std::chrono::milliseconds deadline { 0 };
    traced_outcome outcome = traced_outcome::None;
    std::chrono::milliseconds firstToken { 0 };
    std::chrono::milliseconds total { 0 };
    token_count tokens;

    friend bool operator==(const trace_record&, const trace_record&) = default;
};

struct trace {
    std::string deployment; // for people
    std::vector<trace_record> records;
};

std::string encodeTraceHead(const std::string& deployment);
// One line, with its newline.
std::string encodeTraceRecord(const trace_record& record);
// Names the first line that can't be read.
result<trace> decodeTrace(std::string_view text);

// A text with the recorded size whose blocks are equal where the hashes are.
std::string promptFor(const trace_record& record);

} // namespace lovagerail
