// Decides from where an instance refreshes its copy of the shared documents: its parent in
// the tree of instances, other instances near the root, or the store itself.
//
// Calls to the store must not grow with the number of instances when the store refuses some
// of them or is away, nor when all start at once. So only the readers (the root of the tree
// and its deputies) turn to the store when their copy gets old. All others ask the readers,
// and read from the store only if none of these answers, or if they have no copy yet.
//
// Load pattern: the store turns a third of the instances away, or all of them, or all
// instances start at once.
//
// Performs no I/O.
#pragma once

#include "types.h"

#include <string>
#include <vector>

namespace lovagerail {

struct view_source_settings {
    duration trialTime = std::chrono::milliseconds(250); // for an instance to deliver a copy that is not stale
    duration detourTime = std::chrono::seconds(3); // away from the parent, until it is tried again
    duration storeReadTime = std::chrono::seconds(3); // reading from the store, until an instance is tried again
    duration firstStoreTime = std::chrono::milliseconds(500); // a reader that starts asks the store first for so long
    duration roundPause = std::chrono::seconds(1); // after all answered with stale copies
};

class view_source {
public:
    explicit view_source(view_source_settings settings = {})
        : m_settings(settings)
    {
    }

    // `sources`: addresses of the instances to ask, the preferred one first. A reader may turn
    // to the store although an instance answers, and begins with the store while it has no
    // copy. Without sources the store is read.
    void setSources(std::vector<std::string> sources, bool isReader, instant now);
    // `isStale`: the own copy is older than allowed. `hasCopy`: there is one at all.
    void update(bool isStale, bool hasCopy, instant now);
    void onAnswer() { m_anyAnswered = true; }
    // The current source did not answer.
    void onSilence(instant now);

    bool readsStore(instant now) const { return m_sources.empty() || now < m_storeUntil; }
    // The instance to ask while readsStore() is false.
    const std::string& source() const { return m_sources[m_current]; }

private:
    void advance(instant now);

    view_source_settings m_settings;
    std::vector<std::string> m_sources;
    std::size_t m_current = 0; // index into m_sources
    bool m_isReader = false;
    bool m_hasCopy = false;
    bool m_anyAnswered = false; // some source, since the last round began
    instant m_trialUntil {}; // of the current source
    instant m_returnAt {}; // back to the preferred source, if another one is current
    instant m_storeUntil {};
};

} // namespace lovagerail
