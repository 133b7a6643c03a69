// Classification of answers and the summary of a load run, see load_checks.h.
#include "load_checks.h"

#include <algorithm>
#include <cmath>

namespace lovagerail::standin {

namespace {

    constexpr std::string_view dataPrefix = "data: ";
    constexpr std::size_t maxReasonBytes = 80;

    // Extracts the reason of a refusal; servers use different members for it.
    std::string reasonOf(const std::string& body)
    {
        const auto value = parseJson(body);
        if (!value.isObject())
            return body.substr(0, maxReasonBytes);
        const auto& inner = value["error"].isObject() ? value["error"] : value;
        for (const auto* name : { "reason", "code", "type", "error", "message" }) {
            if (inner[name].isString())
                return inner[name].asString().substr(0, maxReasonBytes);
        }
        return body.substr(0, maxReasonBytes);
    }

    bool saysNotRun(const client_answer& answer, const std::string& body)
    {
        if (!answer.header("X-Not-Run").empty())
            return true;
        const auto value = parseJson(body);
        if (!value.isObject())
            return false;
        const auto& inner = value["error"].isObject() ? value["error"] : value;
        return inner["outcome"].isString() && inner["outcome"].asString() == "not_run";
    }

    // Classifies refused and failed calls, which need no check of the text; false for all others.
    bool classifyFailure(request_outcome& outcome, const client_answer& answer, const std::string& rawBody)
    {
        outcome.status = answer.status;
        if (answer.status >= 400) {
            outcome.kind = "refused";
            outcome.reason = std::to_string(answer.status) + " " + reasonOf(rawBody);
            outcome.notRun = saysNotRun(answer, rawBody);
            return true;
        }
        if (answer.error.empty())
            return false;
        const bool timedOut = answer.error.find("imeout") != std::string::npos;
        outcome.kind = timedOut ? "timeout" : "failed";
        outcome.reason = answer.error;
        return true;
    }

    Json::Value quantiles(std::vector<double> values)
    {
        Json::Value result;
        if (values.empty())
            return result;
        std::sort(values.begin(), values.end());
        const auto quantile = [&](double share) {
            const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
            return values[std::min(values.size(), std::max<std::size_t>(rank, 1)) - 1];
        };
        result["p50"] = quantile(0.5);
        result["p90"] = quantile(0.9);
        result["p99"] = quantile(0.99);
        result["max"] = values.back();
        return result;
    }

    Json::Value toObject(const std::map<std::string, std::int64_t>& counts)
    {
        Json::Value result(Json::objectValue);
        for (const auto& [name, count] : counts)
            result[name] = Json::Int64(count);
        return result;
    }

    double milliseconds(std::chrono::nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

} // namespace

void answer_check::add(std::string_view data)
{
    m_partialLine += data;
    if (!m_streaming)
        return;
    for (auto end = m_partialLine.find('\n'); end != std::string::npos; end = m_partialLine.find('\n')) {
        auto line = m_partialLine.substr(0, end);
        m_partialLine.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (line.starts_with(dataPrefix))
            addEvent(line.substr(dataPrefix.size()));
    }
}

void answer_check::addEvent(const std::string& payload)
{
    if (payload == "[DONE]") {
        m_receivedDone = true;
        return;
    }
    const auto chunk = parseJson(payload);
    if (!chunk.isObject())
        return;
    if (chunk.isMember("error")) {
        m_error = reasonOf(payload);
        return;
    }
    const auto& choice = chunk["choices"][0];
    if (choice["text"].isString())
        m_text += choice["text"].asString();
    if (choice["delta"].isObject() && choice["delta"]["content"].isString())
        m_text += choice["delta"]["content"].asString();
    if (choice["finish_reason"].isString())
        m_finishReason = choice["finish_reason"].asString();
    const auto id = chunk["id"].isString() ? chunk["id"].asString() : std::string();
    if (m_id.empty())
        m_id = id;
    m_mixedIds = m_mixedIds || id != m_id;
}

Json::Value request_outcome::toJson() const
{
    Json::Value value;
    value["number"] = Json::UInt64(number);
    value["key"] = Json::UInt64(key);
    value["kind"] = kind;
    value["status"] = Json::Int64(status);
    value["reason"] = reason;
    value["not_run"] = notRun;
    value["tokens"] = tokens;
    value["latency_ms"] = milliseconds(latency);
    value["first_token_ms"] = milliseconds(firstToken);
    return value;
}

void classifyCompletion(request_outcome& outcome, const client_answer& answer, const std::string& rawBody, const answer_check& check, const expected_answer& expected)
{
    if (classifyFailure(outcome, answer, rawBody))
        return;
    auto text = check.text();
    bool receivedEnd = check.receivedDone() && !check.finishReason().empty();
    if (!expected.streaming) {
        const auto value = parseJson(rawBody);
        receivedEnd = value.isObject();
        if (receivedEnd) {
            const auto& choice = value["choices"][0];
            text = choice["message"].isObject() ? choice["message"]["content"].asString() : choice["text"].asString();
        }
    }
    const auto textCheck = checkText(expected.prompt, 0, text);
    outcome.tokens = textCheck.tokens;
    const bool reachedFullLength = textCheck.reachedEnd || (expected.maxTokens > 0 && textCheck.tokens == expected.maxTokens);
    outcome.kind = "ok";
    if (!receivedEnd || !reachedFullLength)
        outcome.kind = "truncated";
    if (textCheck.gaps > 0)
        outcome.kind = "gap";
    if (textCheck.repeats > 0)
        outcome.kind = "repeat";
    if (textCheck.fromOtherPrompt || check.mixedIds())
        outcome.kind = "crossed";
    // An answer with an error event can't be mistaken for a complete one, so it is a failure
    // and not a truncation.
    if (!check.error().empty() && outcome.kind == "truncated") {
        outcome.kind = "failed";
        outcome.reason = check.error();
    }
}

void classifyService(request_outcome& outcome, const client_answer& answer, const std::string& rawBody, const std::string& requestBody)
{
    if (classifyFailure(outcome, answer, rawBody))
        return;
    const auto value = parseJson(rawBody);
    outcome.kind = "truncated";
    if (value.isObject())
        outcome.kind = value["echo"].asString() == requestBody ? "ok" : "crossed";
    if (value.isObject() && outcome.kind == "ok" && toInt64(value["run"]) > 1)
        outcome.kind = "repeat";
}

void load_summary::add(const request_outcome& outcome)
{
    ++m_requests;
    ++m_kinds[outcome.kind];
    ++m_byKey[outcome.key][outcome.kind];
    m_notRun += outcome.notRun ? 1 : 0;
    m_tokens += outcome.tokens;
    if (!outcome.reason.empty())
        ++m_reasons[outcome.reason];
    if (outcome.kind != "ok")
        return;
    m_latencies.push_back(milliseconds(outcome.latency));
    m_latenciesByKey[outcome.key].push_back(milliseconds(outcome.latency));
    if (outcome.firstToken.count() > 0)
        m_firstTokens.push_back(milliseconds(outcome.firstToken));
}

Json::Value load_summary::toJson() const
{
    Json::Value value;
    value["requests"] = Json::Int64(m_requests);
    value["tokens"] = Json::Int64(m_tokens);
    value["not_run"] = Json::Int64(m_notRun);
    value["outcomes"] = toObject(m_kinds);
    for (const auto* kind : { "ok", "refused", "failed", "timeout", "gap", "repeat", "crossed", "truncated" }) {
        if (!value["outcomes"].isMember(kind))
            value["outcomes"][kind] = 0;
    }
    value["reasons"] = toObject(m_reasons);
    value["by_key"] = Json::Value(Json::arrayValue);
    for (const auto& [key, kinds] : m_byKey) {
        auto keyCounts = toObject(kinds);
        keyCounts["key"] = Json::UInt64(key);
        const auto latencies = m_latenciesByKey.find(key);
        if (latencies != m_latenciesByKey.end())
            keyCounts["latency_ms"] = quantiles(latencies->second);
        value["by_key"].append(keyCounts);
    }
    value["latency_ms"] = quantiles(m_latencies);
    value["first_token_ms"] = quantiles(m_firstTokens);
    return value;
}

} // namespace lovagerail::standin
