// Open-loop replay: sends requests at their recorded times, whether or not earlier ones have
// been answered, and computes metrics from the callers' view.
#include "ctl/replay.h"

#include "settings_fault.h"
#include "toml_text.h"

#include "ctl/table.h"
#include "http/client.h"
#include "http_status.h"
#include "object_codec.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <json/json.h>

namespace lovagerail::ctl {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds maxPollWait { 2 };
    constexpr std::chrono::milliseconds progressInterval { 1000 };
    constexpr std::chrono::milliseconds responseTimeoutMargin { 5000 }; // added to a request's deadline

    struct open_request {
        std::size_t side = 0;
        const trace_record* record = nullptr;
        clock::time_point due;
        clock::time_point firstByte;
        std::string body;
        int status = 0;
    };

    struct side_counts {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t failed = 0;
        std::uint64_t truncated = 0;
        std::vector<double> firstToken;
        std::vector<double> total;
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> accounts; // requests and answered in time
        std::map<std::string, std::vector<double>> accountTotal;
    };

    double quantile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        const auto index = static_cast<std::size_t>(std::lround(share * static_cast<double>(values.size() - 1)));
        return values[index];
    }

    http::request requestOf(const trace_record& record, const std::string& entry, const replay_options& options)
    {
        http::request out;
        out.method = "POST";
        const auto path = options.paths.find(record.route.str());
        const auto key = options.keys.find(record.account.str());
        out.url = entry + (path == options.paths.end() ? "/" + record.route.str() : path->second);
        out.headers = { { "Content-Type", "application/json" } };
        if (key != options.keys.end())
            out.headers.emplace_back("Authorization", "Bearer " + key->second);
        Json::Value body(Json::objectValue);
        if (record.kind == traced_kind::Plain) {
            body["enquiry"] = promptFor(record);
        } else {
            body["model"] = options.model;
            body["prompt"] = promptFor(record);
            body["stream"] = record.kind == traced_kind::Stream;
            if (record.maxTokens > 0)
                body["max_tokens"] = record.maxTokens;
        }
        out.body = toText(body);
        out.totalTimeout = record.deadline + responseTimeoutMargin;
        out.reuse = http::connection_reuse::Forbidden;
        return out;
    }

    // Whether the answer is complete: a stream has its end marker, another answer is valid JSON.
    bool isComplete(const open_request& request, http::transfer_result outcome)
    {
        if (outcome != http::transfer_result::Complete || request.status != statusOk)
            return false;
        if (request.record->kind == traced_kind::Stream)
            return request.body.find("data: [DONE]") != std::string::npos;
        return parseJson(request.body, "replay.answer").has_value();
    }

    void count(side_counts& side, const open_request& request, http::transfer_result outcome)
    {
        const std::chrono::duration<double, std::milli> total = clock::now() - request.due;
        const auto& account = request.record->account.str();
        ++side.requests;
        ++side.accounts[account].first;
        if (isComplete(request, outcome)) {
            ++side.answered;
            side.total.push_back(total.count());
            side.accountTotal[account].push_back(total.count());
            side.accounts[account].second += total.count() <= static_cast<double>(request.record->deadline.count());
            if (request.record->kind == traced_kind::Stream && request.firstByte != clock::time_point())
                side.firstToken.push_back(std::chrono::duration<double, std::milli>(request.firstByte - request.due).count());
            return;
        }
        if (outcome == http::transfer_result::NotSent || request.body.find(R"("outcome":"not_run")") != std::string::npos)
            ++side.notRun;
        else
            ++side.failed;
        side.truncated += outcome == http::transfer_result::Truncated;
    }

    replay_metrics metricsOf(const side_counts& side)
    {
        replay_metrics out;
        const auto share = [](std::uint64_t part, std::uint64_t whole) { return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole); };
        out.values["requests"] = static_cast<double>(side.requests);
        out.values["answered"] = static_cast<double>(side.answered);
        out.values["not_run"] = static_cast<double>(side.notRun);
        out.values["failed"] = static_cast<double>(side.failed);
        out.values["truncated"] = static_cast<double>(side.truncated);
        out.values["answered_share"] = share(side.answered, side.requests);
        out.values["p50_first_token_ms"] = quantile(side.firstToken, 0.5);
        out.values["p99_first_token_ms"] = quantile(side.firstToken, 0.99);
        out.values["p99_total_ms"] = quantile(side.total, 0.99);
        double worstShare = 1;
        double worstTotal = 0;
        for (const auto& [account, counts] : side.accounts) {
            worstShare = std::min(worstShare, share(counts.second, counts.first));
            const auto times = side.accountTotal.find(account);
            if (times != side.accountTotal.end())
                worstTotal = std::max(worstTotal, quantile(times->second, 0.99));
        }
        out.values["worst_account_share"] = worstShare;
        out.values["worst_account_p99_ms"] = worstTotal;
        return out;
    }

    std::string numberText(double value)
    {
        char text[40];
        std::snprintf(text, sizeof text, value == std::floor(value) ? "%.0f" : "%.3f", value);
        return text;
    }

} // namespace

std::vector<std::string> metricNames()
{
    return { "requests", "answered", "not_run", "failed", "truncated", "answered_share", "worst_account_share", "p50_first_token_ms",
        "p99_first_token_ms", "p99_total_ms", "worst_account_p99_ms" };
}

namespace {

    result<toml::table> readToml(std::string_view step, const std::string& file)
    {
        const auto text = readTextFile(file);
        if (!text)
            return failure(error_code::NotFound, step, peer_kind::File, file, "can't be opened");
        auto parsed = parseToml(*text);
        if (!parsed)
            return failure(error_code::InvalidArgument, step, peer_kind::File, file, "line " + std::to_string(parsed.error().line) + ": " + parsed.error().what);
        return std::move(*parsed);
    }

} // namespace

result<std::vector<expected_outcome>> readOutcomes(const std::string& file)
{
    constexpr std::string_view step = "replay.outcomes";
    std::vector<expected_outcome> out;
    const auto root = readToml(step, file);
    if (!root)
        return tl::unexpected(root.error());
    const auto* list = (*root)["outcome"].as_array();
    if (list == nullptr || list->empty())
        return failure(error_code::InvalidArgument, step, peer_kind::File, file, "expected [[outcome]] tables");
    const auto knownMetrics = metricNames();
    for (const auto& item : *list) {
        const auto* table = item.as_table();
        expected_outcome expected;
        expected.metric = table == nullptr ? "" : (*table)["metric"].value_or(std::string());
        if (std::find(knownMetrics.begin(), knownMetrics.end(), expected.metric) == knownMetrics.end())
            return failure(error_code::InvalidArgument, step, peer_kind::File, file, "unknown metric: " + expected.metric);
        expected.atMost = (*table)["at_most"].value<double>();
        expected.atLeast = (*table)["at_least"].value<double>();
        if (!expected.atMost && !expected.atLeast)
            return failure(error_code::InvalidArgument, step, peer_kind::File, file, expected.metric + ": expected at_most or at_least");
        out.push_back(std::move(expected));
    }
    return out;
}

result<void> readReplayKeys(const std::string& file, replay_options& options)
{
    const auto root = readToml("replay.keys", file);
    if (!root)
        return tl::unexpected(root.error());
    const auto readSection = [&root](const char* section, std::map<std::string, std::string>& out) {
        const auto* table = (*root)[section].as_table();
        if (table == nullptr)
            return;
        for (const auto& [name, value] : *table)
            out[std::string(name.str())] = value.value_or(std::string());
    };
    readSection("keys", options.keys);
    readSection("paths", options.paths);
    return {};
}

std::vector<replay_metrics> replayTrace(const trace& recorded, const replay_options& options)
{
    const std::size_t sides = options.entriesB.empty() ? 1 : 2;
    std::vector<side_counts> counts(sides);
    std::map<std::uint64_t, open_request> openRequests;
    http::client transfers;
    std::uint64_t lastId = 0;
    std::size_t nextRecord = 0;
    const auto begin = clock::now();
    auto nextProgress = begin + progressInterval;

    while (nextRecord < recorded.records.size() || !openRequests.empty()) {
        // Step 1. Send the requests that are due, each to all sides.
        const auto now = clock::now();
        while (nextRecord < recorded.records.size()) {
            const auto& record = recorded.records[nextRecord];
            const auto due = begin + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double, std::milli>(static_cast<double>(record.arrival.count()) / options.speed));
            if (due > now)
                break;
            for (std::size_t i = 0; i < sides; ++i) {
                const std::size_t side = (i + nextRecord) % sides;
                const auto& entries = side == 0 ? options.entries : options.entriesB;
                auto request = requestOf(record, entries[nextRecord % entries.size()], options);
                request.id = ++lastId;
                openRequests[request.id] = open_request { side, &record, due, {}, {}, 0 };
                transfers.start(std::move(request));
            }
            ++nextRecord;
        }

        // Step 2. Process events of answers.
        for (auto& event : transfers.poll(maxPollWait)) {
            auto& openRequest = openRequests.at(event.id);
            if (event.what == http::event::kind::Head) {
                openRequest.status = event.status;
            } else if (event.what == http::event::kind::Body) {
                if (openRequest.firstByte == clock::time_point())
                    openRequest.firstByte = clock::now();
                openRequest.body += event.bytes;
            } else {
                count(counts[openRequest.side], openRequest, event.outcome);
                openRequests.erase(event.id);
            }
        }

        // Step 3. Print progress.
        if (options.progress && clock::now() >= nextProgress) {
            nextProgress += progressInterval;
            std::cerr << nextRecord << " of " << recorded.records.size() << " sent, " << openRequests.size() << " open\n";
        }
    }
    std::vector<replay_metrics> out;
    out.reserve(counts.size());
    for (const auto& side : counts)
        out.push_back(metricsOf(side));
    return out;
}

bool checkOutcomes(const replay_metrics& metrics, const std::vector<expected_outcome>& outcomes)
{
    bool allHold = true;
    std::vector<std::vector<std::string>> rows { { "METRIC", "SEEN", "STATED", "HOLDS" } };
    for (const auto& outcome : outcomes) {
        const auto value = metrics.values.at(outcome.metric);
        const bool holds = (!outcome.atMost || value <= *outcome.atMost) && (!outcome.atLeast || value >= *outcome.atLeast);
        allHold = allHold && holds;
        std::string expected;
        if (outcome.atLeast)
            expected += "at least " + numberText(*outcome.atLeast);
        if (outcome.atMost)
            expected += (expected.empty() ? "at most " : ", at most ") + numberText(*outcome.atMost);
        rows.push_back({ outcome.metric, numberText(value), expected, holds ? "yes" : "NO" });
    }
    std::cout << renderTable(rows);
    return allHold;
}

void compareSides(const std::vector<replay_metrics>& sides)
{
    std::vector<std::vector<std::string>> rows { { "METRIC", "A", "B", "B/A" } };
    for (const auto& name : metricNames()) {
        const auto a = sides[0].values.at(name);
        const auto b = sides[1].values.at(name);
        rows.push_back({ name, numberText(a), numberText(b), a == 0 ? "-" : numberText(b / a) });
    }
    std::cout << renderTable(rows);
}

} // namespace lovagerail::ctl
