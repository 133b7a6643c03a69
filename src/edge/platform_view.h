// This instance's replica of the platform's state: the configuration in force, the list of
// targets, and the members with their duties.
//
// Each of the three is a document, a set of entries of the store. Where the settings have a bound
// for evacuations (evacuations.h), the requests for these are a fourth one, which instances of
// older versions neither ask for nor deliver. The instances form a tree
// by rendezvous order. Only the root reads the documents from the store; the others long-poll
// their parent, which answers at once when something changes. So the number of store calls
// does not grow with the number of instances. view_source decides what an instance does whose
// parent is silent or stale. A document never goes back to an older revision.
#pragma once

#include "edge/context.h"
#include "edge/members.h"
#include "evacuations.h"
#include "http/server.h"
#include "platform/desired_state.h"
#include "view_source.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagerail::edge {

namespace detail {

    // Of the documents, by document_index: in messages between instances, and as causes of store calls.
    inline constexpr const char* documentNames[] = { "config", "members", "targets", "evacuations" };

} // namespace detail

class platform_view {
public:
    platform_view(context& shared, members& membership);

    void tick();
    // The store is reachable again after an outage: retry failed reads now.
    void onStoreRegained();
    // Handles the long poll of a child in the tree for documents newer than those it has.
    void onPeerRequest(const http::exchange_ptr& exchange);

    // Whether a first list of targets was read.
    bool targetsKnown() const { return m_documents[TargetsIndex].known; }
    // The list of targets was current at this time or later. Unlike the ages by which lists are refreshed,
    // it doesn't count on quick answers: time that this instance stood still makes the list older.
    instant targetsProvenAt() const { return m_targetsProvenAt; }
    // Whether this instance is the first in the tree.
    bool isRoot() const;
    // Whether requests may be sent to targets: the first list was read, and so were the evacuations
    // as far as they can be.
    bool mayServe() const;
    // Failure domains that get no new requests.
    const std::set<failure_domain_id>& evacuated() const { return m_evacuations.inForce(); }
    const std::vector<platform::target_entry>& targets() const { return m_targets; }
    // Our parent and children in the tree. What every instance relays to its neighbours
    // reaches all instances.
    std::vector<member> neighbours() const;
    // True once after the store was away for all instances that we know of, and answers again.
    bool takeStoreReturned() { return std::exchange(m_storeReturned, false); }

private:
    enum document_index : std::size_t {
        ConfigIndex,
        MembersIndex,
        TargetsIndex,
        EvacuationsIndex, // only where there are evacuations
        DocumentCount,
    };
    struct document {
        std::vector<kv_entry> entries; // sorted by key
        revision at; // of the store when this was read
        std::uint64_t digest = 0; // of the relevant content; the same on all instances
        bool known = false; // read at least once
        instant confirmedAt {}; // the store confirmed the document as current at this time or later
        // Reads from the store.
        bool reading = false;
        std::uint64_t watch = 0; // 0 = none
        instant readAt {};
        duration retryDelay {}; // after the last failure
    };
    // Times at which the store confirmed the documents whose ages have bounds.
    struct confirmation_times {
        instant config {};
        instant targets {};
    };
    // A child whose long poll is open.
    struct waiting_peer {
        http::exchange_ptr exchange;
        std::string knownDigests; // result of digests() that it got from us last
        instant until {};
        confirmation_times confirmed; // when the long poll arrived
    };

    duration shareOfDrainBound(double share) const;
    // Number of documents in use; those after them are never read, asked for or delivered.
    std::size_t documentCount() const { return m_evacuations.enabled() ? DocumentCount : EvacuationsIndex; }
    duration readPeriod(document_index index) const;
    static std::string_view prefixOf(document_index index);

    // Reading from the store.
    bool mustReadStore() const { return m_source.readsStore(m_context.now); }
    void readFromStore(document_index index);
    void startWatch(document_index index);
    void stopWatches();
    void scheduleRetry(document& doc) const;

    // Asking another instance.
    struct tree_place {
        std::vector<instance_id> order; // of all instances
        std::size_t rank = 0; // our position in `order`
        const member* parent = nullptr; // null at the root
    };
    tree_place treePlace() const;
    void updateSource();
    void logSource();
    bool isStale(bool isReader) const;
    void askSource();
    void onSourceAnswer(const http::answer& answer, instant askedAt);
    void answerPeer(const http::exchange_ptr& exchange, duration held) const;
    confirmation_times confirmations() const;
    void answerWaitingPeers();
    std::string digests() const;

    // Applying documents.
    void updateDocument(document_index index, std::vector<kv_entry> entries, revision at, instant confirmedAt);
    void applyConfig();
    void dropMalformedTargets(std::vector<kv_entry>& entries);
    void forgetRemovedEntries(const std::vector<kv_entry>& stored);
    void applyTargets();
    // Sets the limits of cold targets, by the list and the configuration.
    void applyColdLimits();
    void applyEvacuations();
    void updateDomains();
    void applyEvacuationChanges(const evacuation_changes& changes);

    context& m_context;
    members& m_members;
    std::array<document, DocumentCount> m_documents;
    std::vector<platform::target_entry> m_targets;
    std::map<std::string, revision> m_malformedTargets; // logged as ignored, by key
    evacuations m_evacuations;
    instant m_targetsKnownAt {}; // when the first list of targets was read
    instant m_targetsProvenAt {};
    std::optional<instant> m_outageGraceUntil; // entries that expired in an outage may be missing until then
    view_source m_source;
    std::uint64_t m_sourceCall = 0; // the open call to the source; 0 = none
    std::string m_loggedSource; // the last one logged
    std::string m_askedSource; // the instance that was asked last
    std::string m_sourceDigests; // its digests() in its last answer; empty = none yet
    instant m_askAt {}; // not before
    bool m_storeReturned = false;
    std::vector<waiting_peer> m_waitingPeers;
};

} // namespace lovagerail::edge
