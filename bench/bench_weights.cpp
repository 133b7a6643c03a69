// Weight rollouts to 800 replicas that complete each swap at once; each swap order counts as one decision.
#include "bench.h"
#include "weights.h"

namespace lovagerail::bench {

namespace {

    constexpr std::size_t replicaCount = 800;
    constexpr std::uint64_t versions = 4;
    constexpr duration tickInterval = std::chrono::milliseconds(100);

    std::uint64_t runWeightsBenchmark(fingerprint& decisions)
    {
        rollout_settings settings;
        settings.model = model_id("m");
        settings.fencing = fencing_number(1);
        version_rollout rollout(settings);
        std::vector<replica_report> reports;
        for (std::size_t i = 0; i < replicaCount; ++i)
            reports.push_back({ target_id("e" + std::to_string(i)), "http://e" + std::to_string(i), incarnation(1), weight_version(1) });
        std::uint64_t decisionCount = 0;
        instant now(std::chrono::hours(1));
        for (std::uint64_t version = 2; version < 2 + versions; ++version) {
            rollout.setWanted(weight_version(version), "http://store");
            while (!rollout.complete()) {
                now += tickInterval;
                rollout.setReplicas(reports, now);
                for (const auto& action : rollout.tick(now)) {
                    const auto* order = std::get_if<swap_order>(&action);
                    if (order == nullptr)
                        continue;
                    ++decisionCount;
                    decisions.fold(order->orderId);
                    decisions.fold(order->source);
                    for (auto& report : reports) {
                        if (report.target == order->target)
                            report.version = order->version;
                    }
                }
            }
        }
        return decisionCount;
    }

    const registration weightsBenchmark("weights", runWeightsBenchmark);

} // namespace

} // namespace lovagerail::bench
