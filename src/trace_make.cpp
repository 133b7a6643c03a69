// Draws arrivals, accounts, prompts and lengths from one seed.
#include "trace_make.h"

#include <array>
#include <cmath>

namespace lovagerail {

namespace {

    constexpr std::size_t accountCount = 8;
    // Each account's share of the traffic in percent; two accounts are large.
    constexpr std::array<std::uint64_t, accountCount> shares { 34, 26, 10, 8, 7, 6, 5, 4 };
    constexpr std::size_t largestAccount = 0;
    constexpr std::uint64_t plainOneIn = 5; // one request in five is a plain call
    constexpr std::uint64_t unstreamedOneIn = 4; // one generation in four is not streamed
    constexpr std::uint64_t poisonOneIn = 100; // one request in a hundred is a poison request
    constexpr std::uint64_t sharedPrefixes = 12; // number of distinct shared prompt prefixes
    constexpr double floodFactor = 10;

    // SplitMix64; uses integers only, so that every machine draws the same numbers.
    class random_source {
    public:
        explicit random_source(std::uint64_t seed)
            : m_state(seed)
        {
        }
        std::uint64_t next()
        {
            m_state += 0x9e3779b97f4a7c15u;
            auto value = m_state;
            value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
            value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
            return value ^ (value >> 31);
        }
        std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    private:
        std::uint64_t m_state;
    };

    std::size_t drawAccount(random_source& random)
    {
        auto draw = random.below(100);
        for (std::size_t i = 0; i < accountCount; ++i) {
            if (draw < shares[i])
                return i;
            draw -= shares[i];
        }
        return accountCount - 1;
    }

    trace_record drawRecord(random_source& random, std::size_t account, std::chrono::milliseconds arrival, bool poison)
    {
        trace_record out;
        out.arrival = arrival;
        out.account = client_account_id("account-" + std::to_string(account));
        const auto roll = random.next();
        if (!poison && roll % plainOneIn == 0) {
            out.kind = traced_kind::Plain;
            out.route = route_id("stock");
            out.promptBytes = byte_count(120);
            out.deadline = std::chrono::milliseconds(5000);
            return out;
        }
        out.route = route_id("completions");
        out.kind = random.below(unstreamedOneIn) == 0 ? traced_kind::Completion : traced_kind::Stream;
        out.deadline = std::chrono::milliseconds(20'000);
        out.maxTokens = static_cast<std::uint32_t>(8 + random.below(56));
        const auto shared = random.below(sharedPrefixes);
        const auto blocks = 1 + random.below(tracedBlocks);
        for (std::uint64_t i = 0; i < blocks; ++i)
            out.blocks.push_back(random_source(shared * 1000 + i).next());
        // The first block marks a poison request.
        if (poison)
            out.blocks.assign(1, 0xdeadULL);
        out.promptBytes = byte_count(out.blocks.size() * 64 + 40 + random.below(400));
        return out;
    }

} // namespace

bool parseTraceShape(std::string_view name, trace_shape& shape)
{
    if (name == "calm")
        shape = trace_shape::Calm;
    else if (name == "rain")
        shape = trace_shape::Rain;
    else if (name == "flood")
        shape = trace_shape::Flood;
    else if (name == "poison")
        shape = trace_shape::Poison;
    else
        return false;
    return true;
}

trace makeTrace(const trace_plan& plan)
{
    trace out;
    out.deployment = plan.deployment;
    random_source random(plan.seed ^ (plan.deployment == "caribbean" ? 0x5eedULL : 0));
    // Each millisecond has at most one arrival, with the probability given by the rate.
    constexpr std::uint64_t scale = 1'000'000;
    for (std::int64_t ms = 0; ms < plan.length.count(); ++ms) {
        const bool middle = ms >= plan.length.count() / 3 && ms < plan.length.count() * 2 / 3;
        const double rate = plan.perSecond * (middle && plan.shape == trace_shape::Rain ? 2 : 1);
        const auto chance = static_cast<std::uint64_t>(std::llround(rate / 1000 * static_cast<double>(scale)));
        const std::chrono::milliseconds arrival(ms);
        if (random.below(scale) < chance) {
            const bool poison = plan.shape == trace_shape::Poison && random.below(poisonOneIn) == 0;
            out.records.push_back(drawRecord(random, drawAccount(random), arrival, poison));
        }
        if (!middle || plan.shape != trace_shape::Flood)
            continue;
        const double floodRate = plan.perSecond * static_cast<double>(shares[largestAccount]) / 100 * (floodFactor - 1);
        if (random.below(scale) < static_cast<std::uint64_t>(std::llround(floodRate / 1000 * static_cast<double>(scale))))
            out.records.push_back(drawRecord(random, largestAccount, arrival, false));
    }
    return out;
}

} // namespace lovagerail
