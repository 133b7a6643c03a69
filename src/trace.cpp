// Encoding and decoding of traces, and prompts for replaying them.
#include "trace.h"

#include "json_text.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <json/json.h>
#include <memory>

namespace lovagerail {

namespace {

    constexpr std::string_view step = "trace.decode";
    constexpr std::size_t blockBytes = 64;
    constexpr Json::ArrayIndex memberCount = 12;

    std::string hex(std::uint64_t value)
    {
        char text[20];
        std::snprintf(text, sizeof text, "%016" PRIx64, value);
        return text;
    }

    std::string toLine(const Json::Value& value)
    {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return Json::writeString(writer, value) + "\n";
    }

    const char* nameOf(traced_kind kind)
    {
        return kind == traced_kind::Plain ? "p" : kind == traced_kind::Stream ? "s"
                                                                              : "c";
    }

    const char* nameOf(traced_outcome outcome)
    {
        switch (outcome) {
        case traced_outcome::None:
            return "";
        case traced_outcome::Answered:
            return "answered";
        case traced_outcome::NotRun:
            return "not_run";
        case traced_outcome::Failed:
            return "failed";
        }
        return "";
    }

    bool isCount(const Json::Value& value) { return value.isUInt64(); }

    // Fills the record; returns false if a member is missing or invalid.
    bool readRecord(const Json::Value& line, trace_record& out)
    {
        if (!line.isArray() || line.size() < memberCount)
            return false;
        const bool hasValidTypes = isCount(line[0]) && line[1].isString() && line[2].isString() && line[3].isString() && isCount(line[4]) && line[5].isArray()
            && line[6].isUInt() && isCount(line[7]) && line[8].isString() && isCount(line[9]) && isCount(line[10]) && isCount(line[11]);
        if (!hasValidTypes)
            return false;
        out.arrival = std::chrono::milliseconds(line[0].asInt64());
        out.account = client_account_id(line[1].asString());
        out.route = route_id(line[2].asString());
        const auto kind = line[3].asString();
        if (kind != "c" && kind != "s" && kind != "p")
            return false;
        out.kind = kind == "p" ? traced_kind::Plain : kind == "s" ? traced_kind::Stream
                                                                  : traced_kind::Completion;
        out.promptBytes = byte_count(line[4].asUInt64());
        constexpr int hexBase = 16;
        for (const auto& block : line[5]) {
            if (!block.isString())
                return false;
            out.blocks.push_back(std::strtoull(block.asCString(), nullptr, hexBase));
        }
        out.maxTokens = line[6].asUInt();
        out.deadline = std::chrono::milliseconds(line[7].asInt64());
        for (const auto outcome : { traced_outcome::None, traced_outcome::Answered, traced_outcome::NotRun, traced_outcome::Failed }) {
            if (line[8].asString() == nameOf(outcome))
                out.outcome = outcome;
        }
        out.firstToken = std::chrono::milliseconds(line[9].asInt64());
        out.total = std::chrono::milliseconds(line[10].asInt64());
        out.tokens = token_count(line[11].asUInt64());
        return true;
    }

} // namespace

std::string encodeTraceHead(const std::string& deployment)
{
    Json::Value head(Json::objectValue);
    head["lovagerail_trace"] = traceVersion;
    head["deployment"] = deployment;
    return toLine(head);
}

std::string encodeTraceRecord(const trace_record& record)
{
    Json::Value line(Json::arrayValue);
    line.append(Json::Int64(record.arrival.count()));
    line.append(record.account.str());
    line.append(record.route.str());
    line.append(nameOf(record.kind));
    line.append(Json::UInt64(record.promptBytes.count()));
    Json::Value blocks(Json::arrayValue);
    for (const auto block : record.blocks)
        blocks.append(hex(block));
    line.append(blocks);
    line.append(record.maxTokens);
    line.append(Json::Int64(record.deadline.count()));
    line.append(nameOf(record.outcome));
    line.append(Json::Int64(record.firstToken.count()));
    line.append(Json::Int64(record.total.count()));
    line.append(Json::UInt64(record.tokens.count()));
    return toLine(line);
}

result<trace> decodeTrace(std::string_view text)
{
    trace out;
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        ++number;
        if (line.empty())
            continue;
        const auto corrupt = [number](const std::string& why) {
            return failure(error_code::Corrupt, step, peer_kind::File, {}, "line " + std::to_string(number) + ": " + why);
        };
        const auto parsed = parseJson(line);
        if (!parsed)
            return corrupt("not JSON");
        const auto& value = *parsed;
        if (number == 1) {
            if (!value.isObject() || !value["lovagerail_trace"].isInt())
                return corrupt("expected the head of a trace");
            if (value["lovagerail_trace"].asInt() > traceVersion)
                return failure(error_code::Unsupported, step, peer_kind::File, {}, "the trace has a newer version");
            out.deployment = value["deployment"].asString();
            continue;
        }
        trace_record record;
        if (!readRecord(value, record))
            return corrupt("not a record");
        out.records.push_back(std::move(record));
    }
    if (number == 0)
        return failure(error_code::Corrupt, step, peer_kind::File, {}, "the trace is empty");
    return out;
}

std::string promptFor(const trace_record& record)
{
    std::string out;
    const auto promptBytes = static_cast<std::size_t>(record.promptBytes.count());
    for (const auto block : record.blocks) {
        const auto name = hex(block);
        std::string text;
        while (text.size() < blockBytes)
            text += name;
        out += text.substr(0, blockBytes);
    }
    // The text after the hashed blocks is unique to the request.
    const auto tail = hex(static_cast<std::uint64_t>(record.arrival.count()) * 0x9e3779b97f4a7c15u) + " ";
    while (out.size() < promptBytes)
        out += tail;
    out.resize(std::max<std::size_t>(promptBytes, 1), ' ');
    return out;
}

} // namespace lovagerail
