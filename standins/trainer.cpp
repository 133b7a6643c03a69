// Stand-in for a trainer: supplies groups, pulls batches by cursor from any of
// the entry instances, publishes versions, prints each sample as a JSON line
// and checks that none comes twice or differs when it is asked for again.
#include "engine_model.h"
#include "http_client.h"
#include "programs.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <thread>

namespace lovagerail::standin {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds waitForBatch { 1000 };
    constexpr std::chrono::milliseconds pauseAfterFailure { 100 };
    constexpr std::chrono::milliseconds shortestWait { 20 };
    constexpr std::chrono::milliseconds longestWait { 1000 };
    constexpr int asksAgainOneIn = 5;

    struct trainer_state {
        std::vector<std::string> entries;
        std::size_t entry = 0; // the one in use
        std::string key;
        std::string run;
        std::chrono::milliseconds timeout { 0 };
        clock::time_point deadline;
        http_client client;
        std::mt19937_64 random;
        std::int64_t cursor = 0;
        std::int64_t version = 0;
        std::map<std::int64_t, std::int64_t> received; // samples by step
        std::map<std::pair<std::int64_t, std::int64_t>, std::string> prompts; // by step and group
        std::set<std::string> slots;
        Json::Value summary;

        void count(const char* name, std::int64_t amount = 1)
        {
            summary[name] = Json::Int64(toNumber(summary[name]) + amount);
        }
    };

    // A call that goes to the next entry instance until one answers other than with
    // a failure of its own; status 0 if the time is over.
    client_answer callAny(trainer_state& state, const std::string& method, const std::string& path, const Json::Value& body)
    {
        while (clock::now() < state.deadline) {
            client_request request;
            request.method = method;
            request.url = state.entries[state.entry] + "/rollout/v1/runs/" + state.run + path;
            request.timeout = state.timeout;
            if (!state.key.empty())
                request.headers.emplace_back("Authorization", "Bearer " + state.key);
            if (method != "GET") {
                request.headers.emplace_back("Content-Type", "application/json");
                request.body = toLine(body);
            }
            auto answer = state.client.call(request);
            if (answer.problem.empty() && answer.status < 500 && answer.status != 429)
                return answer;
            state.count("failovers");
            state.entry = (state.entry + 1) % state.entries.size();
            std::this_thread::sleep_for(pauseAfterFailure);
        }
        return {};
    }

    // Prompts of a step; they differ between steps and groups.
    bool supplyGroups(trainer_state& state, const arguments& given, std::int64_t step)
    {
        Json::Value body;
        body["step"] = Json::Int64(step);
        body["groups"] = Json::Value(Json::arrayValue);
        for (long group = 0; group < numberOf(given, "--groups"); ++group) {
            Json::Value one;
            one["group"] = Json::Int64(group);
            one["prompt"] = "run " + state.run + " step " + std::to_string(step) + " group " + std::to_string(group) + " seed " + textOf(given, "--seed")
                + ": draft a quotation for the valves listed below.\n";
            if (numberOf(given, "--max-tokens") > 0)
                one["max_tokens"] = Json::Int64(numberOf(given, "--max-tokens"));
            state.prompts[{ step, group }] = one["prompt"].asString();
            body["groups"].append(one);
        }
        const auto answer = callAny(state, "POST", "/groups", body);
        if (answer.status >= 200 && answer.status < 300)
            return true;
        std::fprintf(stderr, "trainer: groups of step %ld: status %ld: %s\n", static_cast<long>(step), answer.status, answer.body.c_str());
        return false;
    }

    bool publish(trainer_state& state)
    {
        Json::Value body;
        body["version"] = Json::Int64(state.version);
        const auto answer = callAny(state, "POST", "/versions", body);
        if (answer.status >= 200 && answer.status < 300)
            return true;
        std::fprintf(stderr, "trainer: version %ld: status %ld: %s\n", static_cast<long>(state.version), answer.status, answer.body.c_str());
        return false;
    }

    // Tokens of a span, given as {version, first, last} or [version, first, last], both ends included.
    std::int64_t tokensOf(const Json::Value& span)
    {
        const auto first = toNumber(span.isArray() ? span[1] : span["first"]);
        const auto last = toNumber(span.isArray() ? span[2] : span["last"]);
        return last - first + 1;
    }

    // Checks the text against the prompt, where the sample gives it.
    void checkSampleText(trainer_state& state, const Json::Value& sample)
    {
        const auto prompt = state.prompts.find({ toNumber(sample["step"]), toNumber(sample["group"]) });
        const auto& text = sample.isMember("text") ? sample["text"] : sample["completion"];
        if (prompt == state.prompts.end() || !text.isString())
            return;
        const auto check = checkText(prompt->second, static_cast<std::uint64_t>(toNumber(sample["seed"])), text.asString());
        if (check.gaps || check.repeats || check.foreign)
            state.count("broken_texts");
        std::int64_t spanned = 0;
        for (const auto& span : sample["spans"])
            spanned += tokensOf(span);
        if (spanned != check.tokens)
            state.count("spans_unlike_text");
    }

    void takeSample(trainer_state& state, const Json::Value& sample)
    {
        const auto slot = std::to_string(toNumber(sample["step"])) + "/" + std::to_string(toNumber(sample["group"])) + "/" + std::to_string(toNumber(sample["index"]));
        state.count("samples");
        if (!state.slots.insert(slot).second)
            state.count("duplicates");
        if (!sample["spans"].isArray() || sample["spans"].empty())
            state.count("without_spans");
        checkSampleText(state, sample);
        ++state.received[toNumber(sample["step"])];
        const auto age = toNumber(sample["age"]);
        if (age > toNumber(state.summary["oldest"]))
            state.summary["oldest"] = Json::Int64(age);
        auto line = sample;
        line["slot"] = state.run + "/" + slot;
        line["cursor"] = Json::Int64(state.cursor);
        std::printf("%s\n", toLine(line).c_str());
        std::fflush(stdout);
    }

    // Waits as long as an answer without samples asks for.
    void waitAfterEmpty(trainer_state& state, const client_answer& answer, const Json::Value& batch)
    {
        state.count("empty_pulls");
        if (answer.status >= 400)
            std::fprintf(stderr, "trainer: batch %ld: status %ld: %s\n", static_cast<long>(state.cursor), answer.status, answer.body.c_str());
        const auto asked = batch.isObject() ? toNumber(batch["retry_after_ms"]) : 0;
        std::this_thread::sleep_for(std::clamp(std::chrono::milliseconds(asked), shortestWait, longestWait));
    }

    // Now and then asks for the same batch again; it must be the same, unless it
    // says that it was made again, and then the new one counts.
    void askAgain(trainer_state& state, const std::string& path, Json::Value& batch)
    {
        const auto answer = callAny(state, "GET", path, {});
        const auto again = parseJson(answer.body);
        if (answer.status != 200 || !again.isObject() || !again["samples"].isArray() || again["samples"].empty())
            return;
        state.count("asked_again");
        if (again["generation"] != batch["generation"])
            state.count("made_again");
        else if (again["samples"] != batch["samples"])
            state.count("differing_repeats");
        batch = again;
    }

    // Pulls one batch; asking for the next one later acknowledges it.
    bool pullBatch(trainer_state& state, const arguments& given, std::int64_t step)
    {
        const auto path = "/batches?cursor=" + std::to_string(state.cursor) + "&wait_ms=" + std::to_string(waitForBatch.count());
        const auto answer = callAny(state, "GET", path, {});
        if (answer.status == 0)
            return false;
        auto batch = parseJson(answer.body);
        if (answer.status != 200 || !batch.isObject() || !batch["samples"].isArray() || batch["samples"].empty()) {
            waitAfterEmpty(state, answer, batch);
            // Prompts that all their holders lost have to come again.
            if (batch.isObject() && toNumber(batch["missing_groups"]) > 0) {
                state.count("supplied_again");
                return supplyGroups(state, given, step);
            }
            return true;
        }
        if (state.random() % asksAgainOneIn == 0)
            askAgain(state, path, batch);
        for (const auto& sample : batch["samples"])
            takeSample(state, sample);
        ++state.cursor;
        return true;
    }

} // namespace

int runTrainer(const arguments& given)
{
    trainer_state state;
    state.entries = listOf(given, "--entries");
    const auto keys = listOf(given, "--keys");
    state.key = keys.empty() ? "" : keys.front();
    state.run = textOf(given, "--run");
    state.timeout = std::chrono::milliseconds(numberOf(given, "--timeout-ms"));
    state.random.seed(static_cast<std::uint64_t>(numberOf(given, "--seed")));
    state.version = numberOf(given, "--first-version");
    state.cursor = numberOf(given, "--first-cursor");
    for (const auto* name : { "samples", "duplicates", "without_spans", "broken_texts", "spans_unlike_text", "asked_again", "made_again", "differing_repeats", "failovers", "empty_pulls", "oldest", "steps", "idle_ms" })
        state.summary[name] = 0;
    const auto begin = clock::now();
    state.deadline = begin + std::chrono::milliseconds(numberOf(given, "--deadline-ms"));
    const auto firstStep = numberOf(given, "--first-step");
    const auto steps = numberOf(given, "--steps");
    const auto expected = numberOf(given, "--groups") * numberOf(given, "--group-size");
    // Step 1. The present version, and the first step's prompts.
    bool going = publish(state) && supplyGroups(state, given, firstStep);
    for (auto step = firstStep; going && step < firstStep + steps; ++step) {
        // Step 2. The next step's prompts go out in advance.
        if (step + 1 < firstStep + steps)
            going = supplyGroups(state, given, step + 1);
        // Step 3. Waiting for the step's samples is the trainer's idle time.
        const auto idleFrom = clock::now();
        while (going && state.received[step] < expected)
            going = pullBatch(state, given, step);
        state.count("idle_ms", std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - idleFrom).count());
        if (!going)
            break;
        // Step 4. Train, and publish the version that comes of it.
        std::this_thread::sleep_for(std::chrono::milliseconds(numberOf(given, "--train-ms")));
        state.count("steps");
        if (isSet(given, "--no-publish"))
            continue;
        ++state.version;
        going = publish(state);
    }
    // Step 5. Asking for the batch after the last acknowledges the last.
    if (going)
        callAny(state, "GET", "/batches?cursor=" + std::to_string(state.cursor) + "&wait_ms=0", {});
    const bool whole = toNumber(state.summary["steps"]) == steps;
    state.summary["summary"] = true;
    state.summary["run"] = state.run;
    state.summary["version"] = Json::Int64(state.version);
    state.summary["cursor"] = Json::Int64(state.cursor);
    state.summary["total_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begin).count());
    state.summary["whole"] = whole;
    std::printf("%s\n", toLine(state.summary).c_str());
    const bool clean = toNumber(state.summary["duplicates"]) == 0 && toNumber(state.summary["differing_repeats"]) == 0;
    return whole && clean ? 0 : 1;
}

} // namespace lovagerail::standin
