// Rollouts of versions over 800 replicas that answer at once; each order is a decision.
#include "bench.h"
#include "weights.h"

namespace lovagerail::bench {

namespace {

    constexpr std::size_t replicaCount = 800;
    constexpr std::uint64_t versions = 4;
    constexpr duration tickTime = std::chrono::milliseconds(100);

    std::uint64_t runWeights(fingerprint& print)
    {
        rollout_settings own;
        own.model = model_id("m");
        own.fencing = fencing_number(1);
        version_rollout machine(own);
        std::vector<replica_report> reports;
        for (std::size_t i = 0; i < replicaCount; ++i)
            reports.push_back({ target_id("e" + std::to_string(i)), "http://e" + std::to_string(i), incarnation(1), weight_version(1) });
        std::uint64_t decisions = 0;
        instant now(std::chrono::hours(1));
        for (std::uint64_t version = 2; version < 2 + versions; ++version) {
            machine.setWanted(weight_version(version), "http://store");
            while (!machine.complete()) {
                now += tickTime;
                machine.setReplicas(reports, now);
                for (const auto& action : machine.tick(now)) {
                    const auto* order = std::get_if<swap_order>(&action);
                    if (order == nullptr)
                        continue;
                    ++decisions;
                    print.fold(order->orderId);
                    print.fold(order->source);
                    for (auto& report : reports) {
                        if (report.target == order->target)
                            report.version = order->version;
                    }
                }
            }
        }
        return decisions;
    }

    const registration weights("weights", runWeights);

} // namespace

} // namespace lovagerail::bench
