// What an entry instance knows of the platform: the configuration in force, the
// targets that live, and the members with their duties.
//
// Each of the three is a document of store entries. One instance reads them from the
// store; the others hang below it in a tree by rendezvous order and ask their parent,
// which answers at once when something changes. So the calls to the store don't grow
// with the fleet. Whoever finds its parent silent or its news old reads for itself for
// a while. A document never goes back to an older revision of the store.
#pragma once

#include "edge/context.h"
#include "edge/members.h"
#include "http/server.h"
#include "platform/desired_state.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace lovagerail::edge {

class knowledge {
public:
    knowledge(context& shared, members& group);

    void tick();
    // The store answers again after an outage: reads that failed are tried now.
    void hintStore();
    // Another instance asks for what it doesn't have yet.
    void onPeer(const http::exchange_ptr& exchange);

    // A first list of targets has come.
    bool targetsKnown() const { return m_documents[TargetsIndex].known; }
    const std::vector<platform::target_entry>& targets() const { return m_targets; }
    // Our parent and children in the tree: news that all pass on to these reaches all.
    std::vector<member> neighbours() const;

private:
    enum document_index : std::size_t {
        ConfigIndex,
        MembersIndex,
        TargetsIndex,
        DocumentCount,
    };
    struct document {
        std::vector<kv_entry> entries; // sorted by key
        revision at; // of the store when this was read
        std::uint64_t version = 0; // grows with each change that matters
        bool known = false;
        instant confirmedAt {}; // the store said no later that nothing is newer
        // Reading by ourselves.
        bool reading = false;
        std::uint64_t watch = 0; // 0 = none
        instant readAgain {};
        duration pause {}; // after the last failure
    };
    // An instance that waits for news.
    struct waiting_peer {
        http::exchange_ptr exchange;
        std::string has; // versions that it has, as we named them
        instant until {};
    };

    duration ofDrainBound(double share) const;

    // Reading from the store.
    bool readsItself() const;
    void readDirect(document_index index);
    void startWatch(document_index index);
    void stopWatches();
    void failed(document& doc) const;

    // Asking the parent.
    struct tree_place {
        std::vector<instance_id> order; // of all instances
        std::size_t rank = 0; // ours in it
        const member* parent = nullptr; // none at the root
    };
    tree_place place() const;
    const member* parent() const;
    void askParent();
    void onParentAnswer(const http::answer& answer, instant asked);
    void answerPeer(const http::exchange_ptr& exchange) const;
    std::string versions() const;

    // Taking over.
    void confirm(document_index index, std::vector<kv_entry> entries, revision at, instant confirmedAt);
    void useConfig();
    void useTargets();

    context& m_context;
    members& m_members;
    std::array<document, DocumentCount> m_documents;
    std::vector<platform::target_entry> m_targets;
    std::optional<instant> m_awayUntil; // entries that lapsed in an outage may be missing until then
    bool m_asking = false;
    instant m_directUntil {}; // the parent was of no use
    std::string m_has; // versions as the parent named them, empty = nothing from it
    std::vector<waiting_peer> m_waiting;
};

} // namespace lovagerail::edge
