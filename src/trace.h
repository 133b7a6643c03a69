// Traffic traces: one line per request, without prompts, completions or keys.
//
// A trace is a text file. The first line is {"lovagerail_trace": 1, "deployment": ...};
// each other line is a JSON array, in the order of arrival:
//   [arrival_ms, account, route, kind, prompt_bytes, [block hashes in hex],
//    max_tokens, deadline_ms, outcome, first_token_ms, total_ms, tokens]
// kind is c (completion), s (streamed completion) or p (plain call). The outcome and the
// members after it describe the recorded execution; they are empty or zero in a generated
// trace. A reader refuses newer versions and ignores additional members at the end.
#pragma once

#include "error.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

constexpr int traceVersion = 1;
constexpr std::size_t tracedBlocks = 8; // number of the prompt's first blocks whose hashes are recorded

enum class traced_kind {
    Completion,
    Stream,
    Plain,
};

enum class traced_outcome {
    None, // generated, never run
    Answered,
    NotRun,
    Failed, // ran or unknown, without a complete response
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
    std::string deployment; // informational only
    std::vector<trace_record> records;
};

std::string encodeTraceHead(const std::string& deployment);
// One line, with its newline.
std::string encodeTraceRecord(const trace_record& record);
// Fails with the number of the first line that can't be read.
result<trace> decodeTrace(std::string_view text);

// Makes a prompt of the recorded size; blocks with equal hashes get equal text, so that a
// replay shares prefixes as the recording did.
std::string promptFor(const trace_record& record);

} // namespace lovagerail
