// Stand-in for a trainer: supplies prompt groups, pulls batches by cursor from any of the
// entry instances, publishes versions and prints each sample as a JSON line. It checks
// that no sample is delivered twice, and that a batch pulled again is unchanged.
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

    constexpr std::chrono::milliseconds batchWait { 1000 };
    constexpr std::chrono::milliseconds failoverPause { 100 };
    constexpr std::chrono::milliseconds minEmptyWait { 20 };
    constexpr std::chrono::milliseconds maxEmptyWait { 1000 };
    constexpr int repeatPullOneIn = 5; // one batch in so many is pulled twice

    struct trainer_state {
        std::vector<std::string> entries;
        std::size_t currentEntry = 0; // index of the entry instance in use
        std::string key;
        std::string run;
        std::chrono::milliseconds timeout { 0 };
        clock::time_point deadline;
        http_client client;
        std::mt19937_64 random;
        std::int64_t cursor = 0;
        std::int64_t version = 0;
        std::map<std::int64_t, std::int64_t> samplesByStep; // received so far
        std::map<std::pair<std::int64_t, std::int64_t>, std::string> prompts; // by step and group
        std::set<std::string> seenSampleIds;
        Json::Value summary;

        void count(const char* name, std::int64_t amount = 1)
        {
            summary[name] = Json::Int64(toInt64(summary[name]) + amount);
        }
    };

    // Makes a call, failing over to the next entry instance on connection errors, 5xx and 429.
    // Status 0 if the deadline has passed.
    client_answer callAnyEntry(trainer_state& state, const std::string& method, const std::string& path, const Json::Value& body)
    {
        while (clock::now() < state.deadline) {
            client_request request;
            request.method = method;
            request.url = state.entries[state.currentEntry] + "/rollout/v1/runs/" + state.run + path;
            request.timeout = state.timeout;
            if (!state.key.empty())
                request.headers.emplace_back("Authorization", "Bearer " + state.key);
            if (method != "GET") {
                request.headers.emplace_back("Content-Type", "application/json");
                request.body = toCompactJson(body);
            }
            auto answer = state.client.call(request);
            if (answer.error.empty() && answer.status < 500 && answer.status != 429)
                return answer;
            state.count("failovers");
            state.currentEntry = (state.currentEntry + 1) % state.entries.size();
            std::this_thread::sleep_for(failoverPause);
        }
        return {};
    }

    // Submits the prompts of a step; each step and group has a different prompt.
    bool supplyGroups(trainer_state& state, const arguments& args, std::int64_t step)
    {
        Json::Value body;
        body["step"] = Json::Int64(step);
        body["groups"] = Json::Value(Json::arrayValue);
        for (long group = 0; group < numberOf(args, "--groups"); ++group) {
            Json::Value groupEntry;
            groupEntry["group"] = Json::Int64(group);
            groupEntry["prompt"] = "run " + state.run + " step " + std::to_string(step) + " group " + std::to_string(group) + " seed " + textOf(args, "--seed")
                + ": draft a quotation for the valves listed below.\n";
            if (numberOf(args, "--max-tokens") > 0)
                groupEntry["max_tokens"] = Json::Int64(numberOf(args, "--max-tokens"));
            state.prompts[{ step, group }] = groupEntry["prompt"].asString();
            body["groups"].append(groupEntry);
        }
        const auto answer = callAnyEntry(state, "POST", "/groups", body);
        if (answer.status >= 200 && answer.status < 300)
            return true;
        std::fprintf(stderr, "trainer: groups of step %ld: status %ld: %s\n", static_cast<long>(step), answer.status, answer.body.c_str());
        return false;
    }

    bool publish(trainer_state& state)
    {
        Json::Value body;
        body["version"] = Json::Int64(state.version);
        const auto answer = callAnyEntry(state, "POST", "/versions", body);
        if (answer.status >= 200 && answer.status < 300)
            return true;
        std::fprintf(stderr, "trainer: version %ld: status %ld: %s\n", static_cast<long>(state.version), answer.status, answer.body.c_str());
        return false;
    }

    // Number of tokens of a span, given as {version, first, last} or [version, first, last],
    // both ends inclusive.
    std::int64_t spanTokenCount(const Json::Value& span)
    {
        const auto first = toInt64(span.isArray() ? span[1] : span["first"]);
        const auto last = toInt64(span.isArray() ? span[2] : span["last"]);
        return last - first + 1;
    }

    // Checks the text of a sample, if it has one, against its prompt and its spans.
    void checkSampleText(trainer_state& state, const Json::Value& sample)
    {
        const auto prompt = state.prompts.find({ toInt64(sample["step"]), toInt64(sample["group"]) });
        const auto& text = sample.isMember("text") ? sample["text"] : sample["completion"];
        if (prompt == state.prompts.end() || !text.isString())
            return;
        const auto check = checkText(prompt->second, static_cast<std::uint64_t>(toInt64(sample["seed"])), text.asString());
        if (check.gaps || check.repeats || check.fromOtherPrompt)
            state.count("broken_texts");
        std::int64_t spanTokens = 0;
        for (const auto& span : sample["spans"])
            spanTokens += spanTokenCount(span);
        if (spanTokens != check.tokens)
            state.count("spans_unlike_text");
    }

    void recordSample(trainer_state& state, const Json::Value& sample)
    {
        const auto sampleId = std::to_string(toInt64(sample["step"])) + "/" + std::to_string(toInt64(sample["group"])) + "/" + std::to_string(toInt64(sample["index"]));
        state.count("samples");
        if (!state.seenSampleIds.insert(sampleId).second)
            state.count("duplicates");
        if (!sample["spans"].isArray() || sample["spans"].empty())
            state.count("without_spans");
        checkSampleText(state, sample);
        ++state.samplesByStep[toInt64(sample["step"])];
        const auto age = toInt64(sample["age"]);
        if (age > toInt64(state.summary["oldest"]))
            state.summary["oldest"] = Json::Int64(age);
        auto line = sample;
        line["slot"] = state.run + "/" + sampleId;
        line["cursor"] = Json::Int64(state.cursor);
        std::printf("%s\n", toCompactJson(line).c_str());
        std::fflush(stdout);
    }

    // After an answer without samples, waits for the time that it asks for, within limits.
    void waitAfterEmpty(trainer_state& state, const client_answer& answer, const Json::Value& batch)
    {
        state.count("empty_pulls");
        if (answer.status >= 400)
            std::fprintf(stderr, "trainer: batch %ld: status %ld: %s\n", static_cast<long>(state.cursor), answer.status, answer.body.c_str());
        const auto requestedWaitMs = batch.isObject() ? toInt64(batch["retry_after_ms"]) : 0;
        std::this_thread::sleep_for(std::clamp(std::chrono::milliseconds(requestedWaitMs), minEmptyWait, maxEmptyWait));
    }

    // Pulls the same batch a second time. It must be unchanged, unless its generation number
    // shows that it was generated again; in both cases the second one is used.
    void repeatPull(trainer_state& state, const std::string& path, Json::Value& batch)
    {
        const auto answer = callAnyEntry(state, "GET", path, {});
        const auto repeatedBatch = parseJson(answer.body);
        if (answer.status != 200 || !repeatedBatch.isObject() || !repeatedBatch["samples"].isArray() || repeatedBatch["samples"].empty())
            return;
        state.count("asked_again");
        if (repeatedBatch["generation"] != batch["generation"])
            state.count("made_again");
        else if (repeatedBatch["samples"] != batch["samples"])
            state.count("differing_repeats");
        batch = repeatedBatch;
    }

    // Pulls one batch. Pulling the next cursor later acknowledges it.
    bool pullBatch(trainer_state& state, const arguments& args, std::int64_t step)
    {
        const auto path = "/batches?cursor=" + std::to_string(state.cursor) + "&wait_ms=" + std::to_string(batchWait.count());
        const auto answer = callAnyEntry(state, "GET", path, {});
        if (answer.status == 0)
            return false;
        auto batch = parseJson(answer.body);
        if (answer.status != 200 || !batch.isObject() || !batch["samples"].isArray() || batch["samples"].empty()) {
            waitAfterEmpty(state, answer, batch);
            // All replicas of some prompts were lost, so the trainer must supply them again.
            if (batch.isObject() && toInt64(batch["missing_groups"]) > 0) {
                state.count("supplied_again");
                return supplyGroups(state, args, step);
            }
            return true;
        }
        if (state.random() % repeatPullOneIn == 0)
            repeatPull(state, path, batch);
        for (const auto& sample : batch["samples"])
            recordSample(state, sample);
        ++state.cursor;
        return true;
    }

} // namespace

int runTrainer(const arguments& args)
{
    trainer_state state;
    state.entries = listOf(args, "--entries");
    const auto keys = listOf(args, "--keys");
    state.key = keys.empty() ? "" : keys.front();
    state.run = textOf(args, "--run");
    state.timeout = std::chrono::milliseconds(numberOf(args, "--timeout-ms"));
    state.random.seed(static_cast<std::uint64_t>(numberOf(args, "--seed")));
    state.version = numberOf(args, "--first-version");
    state.cursor = numberOf(args, "--first-cursor");
    for (const auto* name : { "samples", "duplicates", "without_spans", "broken_texts", "spans_unlike_text", "asked_again", "made_again", "differing_repeats", "failovers", "empty_pulls", "oldest", "steps", "idle_ms" })
        state.summary[name] = 0;
    const auto begin = clock::now();
    state.deadline = begin + std::chrono::milliseconds(numberOf(args, "--deadline-ms"));
    const auto firstStep = numberOf(args, "--first-step");
    const auto steps = numberOf(args, "--steps");
    const auto samplesPerStep = numberOf(args, "--groups") * numberOf(args, "--group-size");
    // Step 1. Publish the current version and supply the prompts of the first step.
    bool succeeded = publish(state) && supplyGroups(state, args, firstStep);
    for (auto step = firstStep; succeeded && step < firstStep + steps; ++step) {
        // Step 2. Supply the prompts of the next step in advance.
        if (step + 1 < firstStep + steps)
            succeeded = supplyGroups(state, args, step + 1);
        // Step 3. Pull the samples of this step; the time until all are there counts as idle time.
        const auto idleFrom = clock::now();
        while (succeeded && state.samplesByStep[step] < samplesPerStep)
            succeeded = pullBatch(state, args, step);
        state.count("idle_ms", std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - idleFrom).count());
        if (!succeeded)
            break;
        // Step 4. Train, and publish the resulting version.
        std::this_thread::sleep_for(std::chrono::milliseconds(numberOf(args, "--train-ms")));
        state.count("steps");
        if (isSet(args, "--no-publish"))
            continue;
        ++state.version;
        succeeded = publish(state);
    }
    // Step 5. Pull the cursor after the last batch to acknowledge the last batch.
    if (succeeded)
        callAnyEntry(state, "GET", "/batches?cursor=" + std::to_string(state.cursor) + "&wait_ms=0", {});
    const bool allStepsDone = toInt64(state.summary["steps"]) == steps;
    state.summary["summary"] = true;
    state.summary["run"] = state.run;
    state.summary["version"] = Json::Int64(state.version);
    state.summary["cursor"] = Json::Int64(state.cursor);
    state.summary["total_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begin).count());
    state.summary["whole"] = allStepsDone;
    std::printf("%s\n", toCompactJson(state.summary).c_str());
    const bool consistent = toInt64(state.summary["duplicates"]) == 0 && toInt64(state.summary["differing_repeats"]) == 0;
    return allStepsDone && consistent ? 0 : 1;
}

} // namespace lovagerail::standin
