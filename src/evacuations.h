// Evacuated failure domains: which requests of operators are in force, and how an instance
// keeps its copy of them fresh.
//
// An operator asks with a key of the store that a failure domain gets no new requests, until
// the key is removed. The requests are a document like the configuration: readers watch the
// store, all others ask their source. A source of an older version lacks the document; an
// instance below it reads the store itself, since it could not keep the bound otherwise.
// Requests in force stay so while the store is away.
//
// Load pattern: all targets of a failure domain leave and return at once, and instances of two
// versions run side by side. Performs no I/O.
#pragma once

#include "types.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagerail {

// A key in the store; without a failure domain if it is malformed.
struct evacuation_request {
    std::string key;
    std::optional<failure_domain_id> domain;

    friend bool operator==(const evacuation_request&, const evacuation_request&) = default;
};

// What changed, for the log.
struct evacuation_changes {
    std::vector<failure_domain_id> began;
    std::vector<failure_domain_id> ended;
    std::vector<evacuation_request> ignored; // malformed, or of an unknown failure domain
};

class evacuations {
public:
    // A target gets no new requests this long after the store has accepted the evacuation of its
    // failure domain; 0: the deployment has no evacuations.
    explicit evacuations(duration bound)
        : m_bound(bound)
    {
    }

    bool enabled() const { return m_bound > duration {}; }

    // Replaces the requests, or the failure domains that exist. Requests for others are ignored
    // until these exist.
    evacuation_changes setRequests(std::vector<evacuation_request> requests);
    evacuation_changes setDomains(std::set<failure_domain_id> domains);
    const std::set<failure_domain_id>& inForce() const { return m_inForce; }

    // Whether the last answer of the source held the document.
    void onSourceAnswer(bool hasDocument) { m_sourceLacks = !hasDocument; }
    // The instance does not ask a source any more.
    void onSourceLeft() { m_sourceLacks = false; }
    // Whether this instance reads the document from the store although it has a source for the others.
    bool readsItself() const { return enabled() && m_sourceLacks; }
    // Time between two reads of an instance that reads itself.
    duration readPeriod() const;
    // Whether another source is to be tried: the copy was confirmed `age` ago. A reader of the
    // store is earlier, so that it has a fresh copy when the others ask.
    bool isStale(duration age, bool isReader) const;
    // Whether requests may be served: the first copy was read, or can't be within the bound.
    bool mayServe(bool known, duration sinceTargetsKnown) const { return !enabled() || known || sinceTargetsKnown >= m_bound; }

private:
    evacuation_changes update();

    duration m_bound;
    std::vector<evacuation_request> m_requests;
    std::set<failure_domain_id> m_domains; // that exist
    std::set<failure_domain_id> m_inForce; // those of m_requests that are in m_domains
    std::vector<evacuation_request> m_ignored; // the rest of m_requests
    bool m_sourceLacks = false;
};

} // namespace lovagerail
