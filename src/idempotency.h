// Idempotency-Key: a repeated request with a known key gets the first answer, or is told
// that the first one is in progress or has an unknown outcome; it never runs twice.
//
// Records are not kept in the key-value service: its request rate is limited, and each
// request with a key would need two writes. They are kept on the two instances that come
// first for the key by rendezvous hashing (the holders). Before the request runs, both
// must have stored the claim; afterwards both are sent its outcome. That is two calls
// before and two after, in parallel, for requests that carry a key and aren't idempotent
// by method or route, and none for any other. Two instances whose views of the
// membership differ by one instance share a holder, so they can't both get a claim. If a
// holder can't be reached, the request is refused as not run. Records are kept for ten
// minutes and survive the loss of one holder (the other sends its records to the new
// holders when the membership changes); after the loss of both within that time a known
// key counts as new. If the instance that runs a request is lost, the outcome is unknown.
#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagerail {

// Hash of account, route and the caller's key, in hex.
using idempotency_id = name_id<struct idempotency_id_tag>;
idempotency_id idempotencyIdOf(const client_account_id& account, const route_id& route, std::string_view key);

enum class record_state {
    InProgress,
    Answered,
    Unknown, // it may have run; the outcome can't be found out any more
};

struct stored_answer {
    int status = 0;
    std::string contentType;
    std::string digest; // hex XXH64 of the body
    std::string body; // empty if it is longer than maxBodyBytes
    bool bodyKept = false;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

struct idempotency_record {
    record_state state = record_state::InProgress;
    std::uint64_t requestDigest = 0; // of method, path and body: the same key for another request is an error
    instance_id claimant; // the instance that runs the request
    std::uint64_t claim = 0; // number of this attempt, unique at that instance
    stored_answer answer; // if Answered
    instant until; // expiry time by the holder's own clock

    friend bool operator==(const idempotency_record&, const idempotency_record&) = default;
};

enum class claim_result {
    Claimed,
    InProgress,
    Answered,
    Unknown,
    OtherRequest, // the key was used for a different request
    Full, // the store has no room, and records are never dropped before they expire
};

struct claim_answer {
    claim_result verdict = claim_result::Full;
    stored_answer answer; // if Answered
};

struct idempotency_settings {
    duration recordLifetime = std::chrono::minutes(10); // of a record, from its last change
    std::size_t maxRecords = 65536;
    std::size_t maxBodyBytes = 16384;
};

stored_answer makeStoredAnswer(int status, std::string contentType, std::string_view body, const idempotency_settings& settings);

// --- Holder: keeps records ----------------------------------------------------------

class idempotency_store {
public:
    explicit idempotency_store(idempotency_settings settings = {});

    // O(log records). Repeating a claim gives the same answer.
    claim_answer claim(const idempotency_id& id, std::uint64_t requestDigest, const instance_id& claimant, std::uint64_t claim, instant now);
    // The claim's request wasn't run: the key may be claimed again.
    void release(const idempotency_id& id, const instance_id& claimant, std::uint64_t claim);
    void recordAnswer(const idempotency_id& id, const instance_id& claimant, std::uint64_t claim, stored_answer answer, instant now);
    void recordUnknownOutcome(const idempotency_id& id, const instance_id& claimant, std::uint64_t claim, instant now);
    // An instance is lost: the outcome of its requests in progress becomes unknown.
    void onInstanceLost(const instance_id& claimant, instant now);
    void expire(instant now);

    // Merges a record sent by another holder; the more advanced state wins.
    void merge(const idempotency_id& id, const idempotency_record& theirs, instant now);
    const std::map<idempotency_id, idempotency_record>& records() const { return m_records; }

private:
    idempotency_record* findOwnClaim(const idempotency_id& id, const instance_id& claimant, std::uint64_t claim);
    void extendLifetime(const idempotency_id& id, idempotency_record& record, instant now);

    idempotency_settings m_settings;
    std::map<idempotency_id, idempotency_record> m_records;
    std::set<std::pair<instant, idempotency_id>> m_byExpiry; // one entry per record, by expiry
};

// The two instances that keep a key's record; one if there is only one.
std::vector<instance_id> recordHolders(const idempotency_id& id, std::vector<instance_id> live);

// --- Claimant: one attempt to run one request with a key --------------------------------

enum class claimant_verdict {
    Waiting, // for answers of holders
    Run, // the request may be run
    // Otherwise it must not be run, and the caller gets the reason or the stored answer.
    InProgress,
    Answered,
    Unknown,
    OtherRequest,
    Unavailable, // a holder can't be reached or is full
};

class idempotency_claimant {
public:
    idempotency_claimant(std::vector<instance_id> holders);

    // The answer of a holder; empty if it can't be reached.
    void onAnswer(const instance_id& holder, const std::optional<claim_answer>& answer);
    claimant_verdict verdict() const;
    const stored_answer& answer() const { return m_answer; }
    // Holders that may have stored the claim, and must be sent the outcome or a release.
    const std::vector<instance_id>& holders() const { return m_holders; }

private:
    std::vector<instance_id> m_holders;
    std::map<instance_id, std::optional<claim_answer>> m_received;
    stored_answer m_answer;
};

} // namespace lovagerail
