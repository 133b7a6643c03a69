// The software versions of each pool that streams may have begun at, for callers that take up a
// stream of unknown origin.
//
// The root of the tree of instances keeps the versions of the last minutes in the store, one entry
// for each pool with a streaming route, and writes it only when they change. An instance reads
// the record when it first needs it after its start, a pause or a partition.
#pragma once

#include "edge/context.h"
#include "edge/platform_view.h"
#include "software_history.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace lovagerail::edge {

class software_versions {
public:
    software_versions(context& shared, const platform_view& view);

    // Calls back with the only software that streams of these pools can have begun at, or nothing if
    // there are several or the list of targets isn't confirmed within `patience`.
    using found_function = std::function<void(const std::optional<target_software>&)>;
    void findOnly(std::set<pool_id> pools, duration patience, found_function onFound);
    // Whether streams of the pool may have begun at several versions.
    bool isMixed(const pool_id& pool) const;
    void tick();

private:
    struct recorded_pool {
        std::set<target_software> software;
        revision at;
    };
    struct question {
        std::set<pool_id> pools;
        instant askedAt {};
        instant until {};
        found_function onFound;
    };

    void observe();
    bool answer(const question& asked);
    void read();
    void write();
    void write(const pool_id& pool, const std::set<target_software>& software);
    std::set<pool_id> streamingPools() const;

    context& m_context;
    const platform_view& m_view;
    software_history m_history;
    instant m_observedAt {};
    std::vector<question> m_questions;
    std::map<pool_id, recorded_pool> m_recorded;
    bool m_recordKnown = false; // m_recorded is what the store had when it was last read or written
    bool m_mustRead = false; // a question needs the record
    bool m_busy = false; // a call to the store is open
    instant m_callAt {}; // not before
};

} // namespace lovagerail::edge
