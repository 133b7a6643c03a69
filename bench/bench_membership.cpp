// Membership and gossip of a simulated fleet on one clock; hashes the state that each member holds.
// With LOVAGERAIL_TABLE=membership it prints bytes, messages, CPU and memory per
// daemon at 4, 64 and 410 members as a Markdown table.
#include "../tests/membership_world.h"
#include "bench.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

namespace lovagerail::bench {

namespace {

    using test::membership_world;
    using steady = std::chrono::steady_clock;

    // Bytes that one exchange on a new connection adds to its messages, as sent by libcurl and
    // libmicrohttpd: request line and headers 205, JSON-RPC envelope of the request 75, headers and
    // envelope of the response 170, and 10 TCP/IP packets with 52 bytes of headers each.
    constexpr std::uint64_t exchangeOverhead = 205 + 75 + 170 + 520;
    constexpr std::size_t joinPeriods = 60;
    constexpr std::size_t measuredPeriods = 60;
    constexpr std::size_t loadEvery = 30; // periods between two load digests of a member
    constexpr std::size_t loadBytes = 24;

    // Every member publishes its load digest again every `loadEvery` periods, so that there is always
    // gossip to spread.
    void renewLoads(membership_world& world, std::size_t period)
    {
        auto& nodes = world.nodes();
        for (std::size_t i = period % loadEvery; i < nodes.size(); i += loadEvery) {
            if (nodes[i].running)
                static_cast<void>(nodes[i].gossip.put("load/" + membership_world::name(i).str(), period + 1, std::string(loadBytes, 'x'), std::chrono::minutes(2), world.now()));
        }
    }

    void runWithLoads(membership_world& world, std::size_t from, std::size_t periods)
    {
        for (std::size_t period = from; period < from + periods; ++period) {
            renewLoads(world, period);
            world.runPeriods(1);
        }
    }

    // CPU time and bytes are measured in separate runs, so that the counting does not add to the CPU time.
    void printRow(std::size_t size)
    {
        const auto heapBefore = mallinfo2().uordblks;
        membership_world timedWorld(size, 1, false, false);
        runWithLoads(timedWorld, 0, joinPeriods);
        const auto heap = mallinfo2().uordblks - heapBefore;
        const auto startTime = steady::now();
        runWithLoads(timedWorld, joinPeriods, measuredPeriods);
        const auto cpuNanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(steady::now() - startTime).count();

        membership_world countedWorld(size, 1, true, false);
        runWithLoads(countedWorld, 0, joinPeriods);
        const auto before = countedWorld.counts();
        runWithLoads(countedWorld, joinPeriods, measuredPeriods);
        const auto after = countedWorld.counts();
        const auto exchanges = after.exchanges - before.exchanges;
        // The bytes of each exchange count for two members: the one that calls and the one that is called.
        const auto bytesPerPeriod = 2 * (after.bytes - before.bytes + exchanges * exchangeOverhead) / (size * measuredPeriods);
        const auto exchangesPerMember = static_cast<double>(2 * exchanges) / static_cast<double>(size * measuredPeriods);
        std::printf("| %zu | %.2f | %llu | %llu | %lld | %zu |\n", size, exchangesPerMember, static_cast<unsigned long long>(bytesPerPeriod), static_cast<unsigned long long>(after.largest),
            static_cast<long long>(cpuNanoseconds) / static_cast<long long>(size * measuredPeriods), heap / size / size);
    }

    void printTable()
    {
        std::printf("\n| members | exchanges a second, in and out | bytes a second, in and out, headers included | largest message, bytes | CPU ns a period | bytes of memory for each member known |\n|---|---|---|---|---|---|\n");
        for (const std::size_t size : { 4u, 64u, 410u })
            printRow(size);
        std::printf("\n");
    }

    void foldViews(membership_world& world, fingerprint& decisions)
    {
        for (const auto& node : world.nodes()) {
            if (!node.running)
                continue;
            decisions.fold(node.members->digest());
            decisions.fold(node.members->liveCount());
            for (const auto bucket : node.gossip.digests())
                decisions.fold(bucket);
        }
    }

    std::uint64_t run(fingerprint& decisions)
    {
        const char* table = std::getenv("LOVAGERAIL_TABLE");
        if (table != nullptr && std::string(table) == "membership")
            printTable();
        constexpr std::size_t size = 64;
        membership_world world(size, 20261203, false, false);
        runWithLoads(world, 0, 20);
        foldViews(world, decisions);
        world.setLinkFilter([](std::size_t from, std::size_t to) { return (from % 3 == 0) == (to % 3 == 0); });
        runWithLoads(world, 20, 30);
        foldViews(world, decisions);
        world.setLinkFilter([&world](std::size_t, std::size_t) { return world.random() % 10 > 0; });
        world.stop(9);
        runWithLoads(world, 50, 40);
        foldViews(world, decisions);
        return world.counts().exchanges;
    }

    const registration membershipBenchmark("membership", run);

} // namespace

} // namespace lovagerail::bench
