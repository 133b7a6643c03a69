// What an entry instance knows of the platform: the configuration in force, and the
// targets that live.
#pragma once

#include "edge/context.h"
#include "platform/desired_state.h"

#include <map>
#include <string>
#include <vector>

namespace lovagerail::edge {

// The configuration: read once, then watched. What is in force never goes back, and
// stays in force while the store is away.
class config_watch {
public:
    explicit config_watch(context& shared)
        : m_context(shared)
    {
    }
    void tick();

private:
    void read();
    void take(const kv_entry& entry);

    context& m_context;
    bool m_reading = false;
    instant m_readAgain {};
    std::uint64_t m_watch = 0; // 0 = none
};

// The targets' own entries in the store, read whole about once a second.
class target_list {
public:
    explicit target_list(context& shared)
        : m_context(shared)
    {
    }
    void tick();
    // A first list has come.
    bool known() const { return m_known; }
    const std::vector<platform::target_entry>& entries() const { return m_entries; }

private:
    void read(std::string after, std::vector<platform::target_entry> soFar);
    void take(std::vector<platform::target_entry> entries);

    context& m_context;
    bool m_reading = false;
    bool m_known = false;
    instant m_nextRead {};
    instant m_lastRead {}; // when the last whole list came
    std::optional<instant> m_awayUntil; // entries that lapsed in an outage may be missing until then
    std::vector<platform::target_entry> m_entries;
};

} // namespace lovagerail::edge
