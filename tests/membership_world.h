// Simulates a fleet of instances with membership and gossip on a network that loses
// messages, for tests and for the benchmark. One seed and one clock drive all of it.
#pragma once

#include "gossip_codec.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace lovagerail::test {

struct world_node {
    std::unique_ptr<membership> members;
    gossip_store gossip;
    bool running = true;
    bool paused = false;
    bool leaving = false;
    std::uint64_t incarnationNumber = 1;
    std::map<instance_id, incarnation> incarnationsSeen; // newest incarnation seen of each; must never decrease
};

struct world_counts {
    std::uint64_t exchanges = 0; // requests sent
    std::uint64_t answers = 0;
    std::uint64_t bytes = 0; // of encoded bodies, both ways
    std::uint64_t largest = 0; // encoded message, in bytes
};

class membership_world {
public:
    using link_filter = std::function<bool(std::size_t from, std::size_t to)>;
    static constexpr duration period = std::chrono::seconds(1);
    static constexpr int stepsPerPeriod = 5;

    membership_world(std::size_t size, std::uint64_t seed, bool isCounting = false, bool isChecking = true)
        : m_random(seed)
        , m_isCounting(isCounting)
        , m_isChecking(isChecking)
        , m_nodes(size)
    {
        for (std::size_t i = 0; i < size; ++i)
            start(i, 1);
    }

    static instance_id name(std::size_t i) { return instance_id("entry-" + std::to_string(i)); }
    static std::size_t domain(std::size_t i) { return i % 3; }

    // (Re)starts a node without state: it knows only the platform's list of instances.
    void start(std::size_t i, std::uint64_t incarnationNumber)
    {
        auto& node = m_nodes[i];
        node = {};
        node.incarnationNumber = incarnationNumber;
        membership_settings settings;
        settings.self = seed(i);
        settings.self.incarnationNumber = incarnation(incarnationNumber);
        settings.period = period;
        node.members = std::make_unique<membership>(settings, m_random());
        std::vector<member_update> list;
        for (std::size_t other = 0; other < m_nodes.size(); ++other)
            list.push_back(seed(other));
        node.members->setSeeds(list);
    }
    void stop(std::size_t i) { m_nodes[i].running = false; }
    void leave(std::size_t i)
    {
        m_nodes[i].leaving = true;
        m_nodes[i].members->leave();
    }

    void runPeriods(std::size_t count)
    {
        for (std::size_t step = 0; step < count * stepsPerPeriod; ++step)
            runStep();
    }

    void runStep()
    {
        m_now += period / stepsPerPeriod;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto& node = m_nodes[i];
            if (!node.running || node.paused)
                continue;
            for (const auto& sent : node.members->tick(m_now))
                exchange(i, sent);
            if (m_now.time_since_epoch() % period == duration(0))
                node.gossip.expire(m_now);
        }
    }

    // Whether each running node believes exactly the running ones alive, each in its present
    // incarnation and with the right leaving mark.
    bool hasConverged() const
    {
        std::uint64_t digest = 0;
        bool isFirst = true;
        for (const auto& node : m_nodes) {
            if (!node.running)
                continue;
            if (!isFirst && node.members->digest() != digest)
                return false;
            digest = node.members->digest();
            isFirst = false;
            for (std::size_t other = 0; other < m_nodes.size(); ++other) {
                const auto* known = node.members->find(name(other));
                const bool isLive = known != nullptr && known->incarnationNumber.value() == m_nodes[other].incarnationNumber && known->state == member_state::Alive;
                if (isLive != m_nodes[other].running)
                    return false;
                if (isLive && known->leaving != m_nodes[other].leaving)
                    return false;
            }
        }
        return true;
    }

    // Runs until all agree and returns the number of periods, or `most` if they don't.
    std::size_t periodsUntilConverged(std::size_t maxPeriods)
    {
        for (std::size_t passed = 0; passed < maxPeriods; ++passed) {
            if (hasConverged())
                return passed;
            runPeriods(1);
        }
        return maxPeriods;
    }

    bool hasIncarnationDecreased() const { return m_hasIncarnationDecreased; }
    std::vector<world_node>& nodes() { return m_nodes; }
    const world_counts& counts() const { return m_counts; }
    instant now() const { return m_now; }
    std::uint64_t random() { return m_random(); }
    void setLinkFilter(link_filter passes) { m_passes = std::move(passes); }

private:
    static member_update seed(std::size_t i)
    {
        member_update out;
        out.id = name(i);
        out.address = "http://10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7003";
        out.failureDomain = failure_domain_id("domain-" + std::to_string(domain(i)));
        return out;
    }

    bool arrives(std::size_t from, std::size_t to) const { return m_nodes[to].running && !m_nodes[to].paused && (!m_passes || m_passes(from, to)); }

    void count(const gossip_message& message)
    {
        if (!m_isCounting)
            return;
        const auto size = toBase64(encodeGossip(message)).size();
        m_counts.bytes += size;
        m_counts.largest = std::max<std::uint64_t>(m_counts.largest, size);
    }

    void exchange(std::size_t i, const outgoing_member_message& sent)
    {
        const std::size_t to = std::stoul(sent.to.str().substr(sent.to.str().find('-') + 1));
        auto& node = m_nodes[i];
        auto& other = m_nodes[to];
        gossip_message request { sent.message, node.gossip.compose(nullptr, node.members->liveCount(), m_now), {}, {} };
        ++m_counts.exchanges;
        count(request);
        if (!arrives(i, to)) {
            node.members->onFailure(sent.to);
            return;
        }
        other.gossip.merge(request.gossip.entries, m_now);
        gossip_message answer { other.members->onMessage(request.members, m_now), other.gossip.compose(&request.gossip.digests, other.members->liveCount(), m_now), {}, {} };
        ++m_counts.answers;
        count(answer);
        checkIncarnations(other);
        if (!arrives(to, i)) {
            node.members->onFailure(sent.to);
            return;
        }
        node.gossip.merge(answer.gossip.entries, m_now);
        node.members->onAnswer(sent.to, answer.members, m_now);
        checkIncarnations(node);
    }

    void checkIncarnations(world_node& node)
    {
        if (!m_isChecking)
            return;
        for (const auto& one : node.members->live()) {
            auto& seen = node.incarnationsSeen[one.id];
            m_hasIncarnationDecreased = m_hasIncarnationDecreased || one.incarnationNumber < seen;
            seen = std::max(seen, one.incarnationNumber);
        }
    }

    std::mt19937_64 m_random;
    bool m_isCounting;
    bool m_isChecking; // checks incarnations, which is expensive in a large fleet
    std::vector<world_node> m_nodes;
    link_filter m_passes;
    instant m_now { std::chrono::seconds(1) };
    world_counts m_counts;
    bool m_hasIncarnationDecreased = false;
};

} // namespace lovagerail::test
