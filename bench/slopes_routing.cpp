// Cost of routing with 80, 800 and 8,000 targets: the platform's target list, one load report and
// one choice of a target. Also the cost of attempts in flight and of the prefix index.
#include "provider/target_list.h"
#include "router.h"
#include "slopes.h"
#include "target/target_watch.h"

#include <json/json.h>

namespace lovagerail::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t failureDomains = 7;
    constexpr std::uint32_t conversations = 100;
    constexpr std::size_t promptBytes = 4096;

    const routing_class_id models("models");

    listed_target makeTarget(std::uint32_t number)
    {
        listed_target listed;
        listed.id = target_id("target-" + std::to_string(number));
        listed.address = "http://10.1." + std::to_string(number / 256) + "." + std::to_string(number % 256) + ":9000";
        listed.pool = pool_id("models");
        listed.failureDomain = failure_domain_id("domain-" + std::to_string(number % failureDomains));
        listed.incarnation = incarnation(1);
        listed.labels["model"] = "m";
        return listed;
    }

    std::vector<listed_target> makeTargets(std::uint32_t count)
    {
        std::vector<listed_target> rows;
        rows.reserve(count);
        for (std::uint32_t i = 0; i < count; ++i)
            rows.push_back(makeTarget(i));
        return rows;
    }

    // The body of the answer to GET /targets.
    std::string encodeTargetList(std::uint32_t count)
    {
        Json::Value list(Json::objectValue);
        for (const auto& row : makeTargets(count)) {
            Json::Value entry(Json::objectValue);
            entry["id"] = row.id.str();
            entry["address"] = row.address;
            entry["pool"] = row.pool.str();
            entry["kind"] = "firm";
            entry["failure_domain"] = row.failureDomain.str();
            entry["state"] = "live";
            entry["incarnation"] = 1;
            entry["price_micro_per_hour"] = 2'000'000;
            entry["order_id"] = "";
            list["targets"].append(entry);
        }
        Json::StreamWriterBuilder compactWriter;
        compactWriter["indentation"] = "";
        return Json::writeString(compactWriter, list);
    }

    router emptyRouter()
    {
        router_settings settings;
        settings.instance = "instance-1";
        settings.failureDomain = failure_domain_id("domain-1");
        router created(settings);
        created.setClass(models, [](const target_record& record) { return record.labels.contains("model"); });
        return created;
    }

    route_request makeRequest(std::uint64_t number)
    {
        route_request request;
        request.routingClass = models;
        request.account = client_account_id("account-1");
        request.promptTokens = token_count(promptBytes / 4);
        request.expectedTokens = token_count(500);
        request.promptBlocks = hashPrompt(std::string(promptBytes, static_cast<char>('0' + number % conversations)));
        request.idempotent = true;
        request.seed = number;
        return request;
    }

    load_report makeReport(std::uint32_t target, std::uint64_t round)
    {
        load_report report;
        report.target = target_id("target-" + std::to_string(target));
        report.incarnation = incarnation(1);
        report.running = static_cast<std::uint32_t>(round % 20);
        report.version = weight_version(1);
        report.model = model_id("m");
        report.measuredAt = instant { 60s };
        return report;
    }

    void measureTargets(std::uint32_t count)
    {
        const auto rows = makeTargets(count);
        const auto text = encodeTargetList(count);
        const auto before = heapBytes();
        auto subject = emptyRouter();
        subject.applyList(rows, instant { 1s });
        const auto held = heapBytes() - before;

        // Step 1. Each time the target list is fetched.
        const std::uint64_t lists = std::max<std::uint64_t>(1, 8000 / count);
        const auto decode = nanosecondsEach(lists, [&](std::uint64_t) { (void)provider::decodeTargets(text); });
        print({ "targets", "decode the platform's list", count, text.size(), decode, std::to_string(text.size()) + " B on the wire" });
        const auto merge = nanosecondsEach(lists, [&](std::uint64_t) { subject.applyList(rows, instant { 2s }); });
        print({ "targets", "merge an unchanged list", count, held, merge, "bytes: router with table, load, health" });

        // Step 2. One load report, one choice of a target.
        constexpr std::uint64_t rounds = 10'000;
        const auto report = nanosecondsEach(rounds, [&](std::uint64_t round) { subject.applyReport(makeReport(static_cast<std::uint32_t>(round % count), round), instant { 60s }); });
        print({ "targets", "one load report", count, 0, report, "" });
        const auto request = makeRequest(7);
        const auto choose = nanosecondsEach(rounds, [&](std::uint64_t round) {
            auto wanted = request;
            wanted.seed = round;
            (void)subject.choose(wanted, instant { 61s });
        });
        print({ "router", "choose one target, 64 prompt blocks", count, 0, choose, "" });

        // Step 3. The watch, which checks its followed targets at every housekeeping tick.
        std::uint64_t polls = 0;
        target::target_watch watch(
            {}, [&polls](const http::request&) { return ++polls > 0; }, [](std::uint64_t) {});
        const auto follow = nanosecondsEach(20, [&](std::uint64_t round) { watch.tick(subject, 1, instant { 61s } + std::chrono::milliseconds(round)); });
        print({ "targets", "tick of the watch of 64", count, 0, follow, "" });
    }

    // Memory and time of attempts in flight on one daemon.
    void measureAttempts(std::uint64_t count)
    {
        auto subject = emptyRouter();
        subject.applyList(makeTargets(800), instant { 1s });
        const auto request = makeRequest(1);
        const auto before = heapBytes();
        const auto begin = threadNanoseconds();
        for (std::uint64_t i = 1; i <= count; ++i) {
            auto wanted = request;
            wanted.seed = i;
            const auto decision = subject.choose(wanted, instant { 60s });
            if (const auto* choice = std::get_if<route_choice>(&decision))
                subject.started(attempt_id(i), *choice, wanted, instant { 60s });
        }
        const auto nanoseconds = static_cast<double>(threadNanoseconds() - begin) / static_cast<double>(count);
        print({ "router", "choose and start, all in flight", count, heapBytes() - before, nanoseconds, "" });
    }

    void measurePrefixes(std::uint32_t blocks)
    {
        constexpr std::uint32_t perEvent = 64;
        const std::uint32_t events = blocks / perEvent;
        const auto before = heapBytes();
        prefix_index index;
        const auto begin = threadNanoseconds();
        for (std::uint32_t from = 0; from < blocks; from += perEvent) {
            cache_event event;
            event.seq = from / perEvent + 1;
            for (std::uint32_t i = 0; i < perEvent; ++i)
                event.hashes.emplace_back((from + i) * 0x9e3779b97f4a7c15u);
            index.apply(target_slot(from / perEvent % 64), event, instant { 60s });
        }
        const auto nanoseconds = static_cast<double>(threadNanoseconds() - begin) / static_cast<double>(events);
        print({ "prefixes", "one cache event of 64 blocks", blocks, heapBytes() - before, nanoseconds, "" });
    }

} // namespace

void printRoutingSlopes()
{
    for (const std::uint32_t count : { 80u, 800u, 8000u })
        measureTargets(count);
    for (const std::uint64_t count : { 16u, 128u, 1024u })
        measureAttempts(count);
    for (const std::uint32_t blocks : { 2048u, 8192u, 32768u })
        measurePrefixes(blocks);
}

} // namespace lovagerail::bench
