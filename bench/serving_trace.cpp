// Generation of the traces; see serving_trace.h.
#include "serving_trace.h"

#include "router_policy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lovagerail::bench {

namespace {

    // Percent of the demand of each account: two large client accounts, six small ones.
    constexpr std::array<std::uint32_t, accountCount> accountShares { 30, 25, 12, 10, 8, 6, 5, 4 };

    // What the requests of a deployment look like.
    struct demand_profile {
        double conversationsPerSecond;
        std::size_t maxTurns;
        std::size_t openingBlocks; // minimum; shared by all conversations of an account
        std::size_t turnBlocks; // minimum added by each turn; at most twice as many
        std::uint64_t outputTokens; // minimum; at most three times as many
        double callsPerSecond; // of plain services
        duration serviceTime; // mean
    };

    demand_profile demandOf(deployment site)
    {
        if (site == deployment::Wales)
            return { 5.0, 5, 30, 12, 60, 450, std::chrono::milliseconds(15) };
        return { 28.0, 1, 50, 6, 10, 225, std::chrono::milliseconds(20) };
    }

    class trace_generator {
    public:
        explicit trace_generator(const trace_plan& plan)
            : m_plan(plan)
            , m_random(plan.seed)
        {
        }

        std::vector<arrival> make();

    private:
        double uniform() { return static_cast<double>(m_random.next() >> 11) * 0x1.0p-53; }
        double exponential(double mean) { return -mean * std::log(1 - uniform()); }
        std::uint32_t pickAccount();
        double rateFactor(instant at) const;
        void addConversation(instant at);
        void addCall(instant at);
        template <typename Add>
        void addPoisson(double perSecond, Add add);

        trace_plan m_plan;
        demand_profile m_demand = demandOf(m_plan.site);
        seeded_random m_random;
        std::vector<arrival> m_arrivals;
        std::uint64_t m_conversations = 0;
    };

    block_hash blockOf(std::uint64_t accountNumber, std::uint64_t index)
    {
        return block_hash(seeded_random(accountNumber * 1000003 + index).next());
    }

    std::uint32_t trace_generator::pickAccount()
    {
        auto ticket = static_cast<std::uint32_t>(m_random.below(100));
        std::uint32_t number = 0;
        while (ticket >= accountShares[number])
            ticket -= accountShares[number++];
        return number;
    }

    double trace_generator::rateFactor(instant at) const
    {
        if (m_plan.scenario != load_scenario::DemandSurge)
            return 1;
        const duration since = at.time_since_epoch();
        return since > m_plan.length / 4 && since < m_plan.length * 3 / 4 ? 2 : 1;
    }

    // The prompt of each turn begins with the whole prompt of the previous turn.
    void trace_generator::addConversation(instant at)
    {
        const std::uint32_t accountNumber = pickAccount();
        const std::uint64_t number = 100 + m_conversations++;
        std::vector<block_hash> prompt;
        const std::size_t opening = m_demand.openingBlocks + accountNumber * 5;
        while (prompt.size() < opening)
            prompt.push_back(blockOf(accountNumber + 1, prompt.size()));
        const std::size_t turns = 1 + m_random.below(m_demand.maxTurns);
        for (std::size_t turn = 0; turn < turns; ++turn) {
            const std::size_t added = m_demand.turnBlocks + m_random.below(m_demand.turnBlocks + 1);
            for (std::size_t i = 0; i < added; ++i)
                prompt.push_back(blockOf(number, prompt.size()));
            arrival item;
            item.at = at;
            item.account = accountNumber;
            item.instance = static_cast<std::uint32_t>(m_random.below(instanceCount));
            item.prompt = prompt;
            item.promptTokens = prompt.size() * prefixBlockTokens + 1 + m_random.below(prefixBlockTokens);
            item.outputTokens = m_demand.outputTokens + m_random.below(2 * m_demand.outputTokens);
            m_arrivals.push_back(std::move(item));
            at += std::chrono::milliseconds(4000 + m_random.below(8000));
        }
    }

    void trace_generator::addCall(instant at)
    {
        arrival item;
        item.at = at;
        item.account = pickAccount();
        item.instance = static_cast<std::uint32_t>(m_random.below(instanceCount));
        item.toEngine = false;
        item.idempotent = m_random.below(2) == 0;
        const double mean = std::chrono::duration<double>(m_demand.serviceTime).count();
        item.serviceTime = std::chrono::duration_cast<duration>(std::chrono::duration<double>(exponential(mean)));
        m_arrivals.push_back(std::move(item));
    }

    template <typename Add>
    void trace_generator::addPoisson(double perSecond, Add add)
    {
        instant at;
        while (at.time_since_epoch() < m_plan.length) {
            const double gap = exponential(1 / (perSecond * rateFactor(at)));
            at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
            add(at);
        }
    }

    std::vector<arrival> trace_generator::make()
    {
        addPoisson(m_demand.conversationsPerSecond, [&](instant at) { addConversation(at); });
        addPoisson(m_demand.callsPerSecond, [&](instant at) { addCall(at); });
        std::stable_sort(m_arrivals.begin(), m_arrivals.end(), [](const arrival& left, const arrival& right) { return left.at < right.at; });
        const auto isAfterEnd = [&](const arrival& item) { return item.at.time_since_epoch() > m_plan.length; };
        m_arrivals.erase(std::remove_if(m_arrivals.begin(), m_arrivals.end(), isAfterEnd), m_arrivals.end());
        return std::move(m_arrivals);
    }

} // namespace

std::string_view toString(deployment site)
{
    return site == deployment::Wales ? "Wales" : "Caribbean";
}

std::string_view toString(load_scenario scenario)
{
    switch (scenario) {
    case load_scenario::Steady:
        return "calm";
    case load_scenario::DemandSurge:
        return "rain";
    case load_scenario::DomainLost:
        return "domain lost";
    }
    return "unknown";
}

std::vector<std::string> failureDomains(deployment site)
{
    if (site == deployment::Wales)
        return { "caerdydd", "abertawe", "wrecsam" };
    return { "sfdo-a", "sfdo-b", "cvpt-c" };
}

std::uint32_t engineCount(deployment site)
{
    return site == deployment::Wales ? 8 : 10;
}

std::uint32_t serviceCount(deployment /*site*/)
{
    return 3;
}

// The Caribbean models are small: faster steps, smaller memory.
engine_model engineModel(deployment site)
{
    engine_model model;
    if (site == deployment::Wales)
        return model;
    model.stepBase = std::chrono::milliseconds(8);
    model.stepPerStream = std::chrono::microseconds(200);
    model.perPrefillToken = std::chrono::microseconds(50);
    model.batchLimit = 16;
    model.kvTokens = 30000;
    model.cacheBlocks = 400;
    return model;
}

std::size_t serviceWorkers(deployment /*site*/)
{
    return 6;
}

std::vector<arrival> makeTrace(const trace_plan& plan)
{
    return trace_generator(plan).make();
}

} // namespace lovagerail::bench
