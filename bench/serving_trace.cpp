// Generation of the traces; see serving_trace.h.
#include "serving_trace.h"

#include "router_policy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lovagerail::bench {

namespace {

    // Percent of the demand: two large client accounts, six small ones.
    constexpr std::array<std::uint32_t, accountCount> accountShares { 30, 25, 12, 10, 8, 6, 5, 4 };

    // What the requests of a deployment look like.
    struct demand {
        double conversationsPerSecond;
        std::size_t mostTurns;
        std::size_t openingBlocks; // shared by all conversations of an account, at least
        std::size_t turnBlocks; // added by each turn, at most twice as many
        std::uint64_t outputTokens; // at least; at most three times as many
        double callsPerSecond; // of plain services
        duration serviceTime; // mean
    };

    demand demandOf(deployment where)
    {
        if (where == deployment::Wales)
            return { 5.0, 5, 30, 12, 60, 450, std::chrono::milliseconds(15) };
        return { 28.0, 1, 50, 6, 10, 225, std::chrono::milliseconds(20) };
    }

    class trace_maker {
    public:
        explicit trace_maker(const trace_plan& plan)
            : m_plan(plan)
            , m_random(plan.seed)
        {
        }

        std::vector<arrival> make();

    private:
        double uniform() { return static_cast<double>(m_random.next() >> 11) * 0x1.0p-53; }
        double exponential(double mean) { return -mean * std::log(1 - uniform()); }
        std::uint32_t account();
        double rateFactor(instant at) const;
        void addConversation(instant at);
        void addCall(instant at);
        template <typename Add>
        void addPoisson(double perSecond, Add add);

        trace_plan m_plan;
        demand m_demand = demandOf(m_plan.where);
        seeded_random m_random;
        std::vector<arrival> m_arrivals;
        std::uint64_t m_conversations = 0;
    };

    block_hash blockOf(std::uint64_t owner, std::uint64_t index)
    {
        return block_hash(seeded_random(owner * 1000003 + index).next());
    }

    std::uint32_t trace_maker::account()
    {
        auto ticket = static_cast<std::uint32_t>(m_random.below(100));
        std::uint32_t number = 0;
        while (ticket >= accountShares[number])
            ticket -= accountShares[number++];
        return number;
    }

    double trace_maker::rateFactor(instant at) const
    {
        if (m_plan.sky != weather::Rain)
            return 1;
        const duration since = at.time_since_epoch();
        return since > m_plan.length / 4 && since < m_plan.length * 3 / 4 ? 2 : 1;
    }

    // Each turn's prompt begins with the whole prompt of the turn before.
    void trace_maker::addConversation(instant at)
    {
        const std::uint32_t owner = account();
        const std::uint64_t number = 100 + m_conversations++;
        std::vector<block_hash> prompt;
        const std::size_t opening = m_demand.openingBlocks + owner * 5;
        while (prompt.size() < opening)
            prompt.push_back(blockOf(owner + 1, prompt.size()));
        const std::size_t turns = 1 + m_random.below(m_demand.mostTurns);
        for (std::size_t turn = 0; turn < turns; ++turn) {
            const std::size_t added = m_demand.turnBlocks + m_random.below(m_demand.turnBlocks + 1);
            for (std::size_t i = 0; i < added; ++i)
                prompt.push_back(blockOf(number, prompt.size()));
            arrival item;
            item.at = at;
            item.account = owner;
            item.instance = static_cast<std::uint32_t>(m_random.below(instanceCount));
            item.prompt = prompt;
            item.promptTokens = prompt.size() * prefixBlockTokens + 1 + m_random.below(prefixBlockTokens);
            item.outputTokens = m_demand.outputTokens + m_random.below(2 * m_demand.outputTokens);
            m_arrivals.push_back(std::move(item));
            at += std::chrono::milliseconds(4000 + m_random.below(8000));
        }
    }

    void trace_maker::addCall(instant at)
    {
        arrival item;
        item.at = at;
        item.account = account();
        item.instance = static_cast<std::uint32_t>(m_random.below(instanceCount));
        item.toEngine = false;
        item.idempotent = m_random.below(2) == 0;
        const double mean = std::chrono::duration<double>(m_demand.serviceTime).count();
        item.serviceTime = std::chrono::duration_cast<duration>(std::chrono::duration<double>(exponential(mean)));
        m_arrivals.push_back(std::move(item));
    }

    template <typename Add>
    void trace_maker::addPoisson(double perSecond, Add add)
    {
        instant at;
        while (at.time_since_epoch() < m_plan.length) {
            const double gap = exponential(1 / (perSecond * rateFactor(at)));
            at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
            add(at);
        }
    }

    std::vector<arrival> trace_maker::make()
    {
        addPoisson(m_demand.conversationsPerSecond, [&](instant at) { addConversation(at); });
        addPoisson(m_demand.callsPerSecond, [&](instant at) { addCall(at); });
        std::stable_sort(m_arrivals.begin(), m_arrivals.end(), [](const arrival& left, const arrival& right) { return left.at < right.at; });
        const auto isOver = [&](const arrival& item) { return item.at.time_since_epoch() > m_plan.length; };
        m_arrivals.erase(std::remove_if(m_arrivals.begin(), m_arrivals.end(), isOver), m_arrivals.end());
        return std::move(m_arrivals);
    }

} // namespace

std::string_view toString(deployment where)
{
    return where == deployment::Wales ? "Wales" : "Caribbean";
}

std::string_view toString(weather sky)
{
    switch (sky) {
    case weather::Calm:
        return "calm";
    case weather::Rain:
        return "rain";
    case weather::DomainLost:
        return "domain lost";
    }
    return "unknown";
}

std::vector<std::string> failureDomains(deployment where)
{
    if (where == deployment::Wales)
        return { "caerdydd", "abertawe", "wrecsam" };
    return { "sfdo-a", "sfdo-b", "cvpt-c" };
}

std::uint32_t engineCount(deployment where)
{
    return where == deployment::Wales ? 8 : 10;
}

std::uint32_t serviceCount(deployment /*where*/)
{
    return 3;
}

// The Caribbean models are small: faster steps, smaller memory.
engine_model engineModel(deployment where)
{
    engine_model model;
    if (where == deployment::Wales)
        return model;
    model.stepBase = std::chrono::milliseconds(8);
    model.stepPerStream = std::chrono::microseconds(200);
    model.perPrefillToken = std::chrono::microseconds(50);
    model.batchLimit = 16;
    model.kvTokens = 30000;
    model.cacheBlocks = 400;
    return model;
}

std::size_t serviceWorkers(deployment /*where*/)
{
    return 6;
}

std::vector<arrival> makeTrace(const trace_plan& plan)
{
    return trace_maker(plan).make();
}

} // namespace lovagerail::bench
