// Idempotency-Key: a repeat of a known key gets the first answer, or hears that it is
// in progress or can't be told; never a second run.
//
// Where records live: not in the key-value service, whose rate is limited while each
// keyed call of live trade needs two writes, but on the two instances that come first
// for the key by rendezvous hashing. Before a run both must have noted the claim; after
// it both are told the end. That is two calls before and two after, in parallel, for calls
// that carry a key and aren't idempotent by method or route; none for any other. Two
// instances whose views of the membership differ by one instance share a holder,
// so they can't both get a claim. If a holder can't be reached the call is refused
// as not run. Records are kept for ten minutes and survive the loss of one holder
// (the other hands its records over when the membership changes); after the loss of both
// within that time a key is taken for new. An asker that is lost leaves
// its claims as unknown.
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
    Unknown, // it may have run; nobody will ever know more
};

struct kept_answer {
    int status = 0;
    std::string contentType;
    std::string digest; // hex XXH64 of the body
    std::string body; // empty if it's longer than what is kept
    bool bodyKept = false;

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

struct idempotency_record {
    record_state state = record_state::InProgress;
    std::uint64_t requestDigest = 0; // of method, path and body: the same key for another request is an error
    instance_id asker; // who runs it
    std::uint64_t claim = 0; // the asker's number for this try
    kept_answer answer; // if Answered
    instant until; // forgotten then; counted anew on each instance

    friend bool operator==(const idempotency_record&, const idempotency_record&) = default;
};

enum class claim_verdict {
    Claimed,
    InProgress,
    Answered,
    Unknown,
    OtherRequest, // the key was used for a different request
    Full, // nothing is forgotten early to make room
};

struct claim_answer {
    claim_verdict verdict = claim_verdict::Full;
    kept_answer answer; // if Answered
};

struct idempotency_settings {
    duration life = std::chrono::minutes(10);
    std::size_t mostRecords = 65536;
    std::size_t longestBody = 16384;
};

kept_answer keepAnswer(int status, std::string contentType, std::string_view body, const idempotency_settings& settings);

// --- Holder: keeps records ----------------------------------------------------------

class idempotency_store {
public:
    explicit idempotency_store(idempotency_settings settings = {});

    // O(log records). Repeating a claim gives the same answer.
    claim_answer claim(const idempotency_id& id, std::uint64_t requestDigest, const instance_id& asker, std::uint64_t claim, instant now);
    // The claim's work wasn't run: the key is free again.
    void release(const idempotency_id& id, const instance_id& asker, std::uint64_t claim);
    void answered(const idempotency_id& id, const instance_id& asker, std::uint64_t claim, kept_answer answer, instant now);
    void unknown(const idempotency_id& id, const instance_id& asker, std::uint64_t claim, instant now);
    // An instance is lost: what it ran may or may not have run.
    void lost(const instance_id& asker, instant now);
    void expire(instant now);

    // Records handed over by another holder; what is further on wins.
    void merge(const idempotency_id& id, const idempotency_record& theirs, instant now);
    const std::map<idempotency_id, idempotency_record>& records() const { return m_records; }

private:
    idempotency_record* own(const idempotency_id& id, const instance_id& asker, std::uint64_t claim);
    void touch(const idempotency_id& id, idempotency_record& record, instant now);

    idempotency_settings m_settings;
    std::map<idempotency_id, idempotency_record> m_records;
    std::set<std::pair<instant, idempotency_id>> m_byEnd; // one for each record
};

// The two instances that keep a key's record, or the one there is.
std::vector<instance_id> holdersOf(const idempotency_id& id, std::vector<instance_id> live);

// --- Asker: one try of one keyed call --------------------------------------------------

// Still waits for holders; may run; or what the caller is told instead of a run.
enum class ask_verdict {
    Waiting,
    Run,
    InProgress,
    Answered,
    Unknown,
    OtherRequest,
    Unavailable, // a holder can't be reached or is full: not run
};

class idempotency_asker {
public:
    idempotency_asker(std::vector<instance_id> holders);

    // An answer of a holder, or none if it can't be reached.
    void onAnswer(const instance_id& holder, const std::optional<claim_answer>& answer);
    ask_verdict verdict() const;
    const kept_answer& answer() const { return m_answer; }
    // Holders that may have noted the claim and must be told the end, or to release it.
    const std::vector<instance_id>& holders() const { return m_holders; }

private:
    std::vector<instance_id> m_holders;
    std::map<instance_id, std::optional<claim_answer>> m_heard;
    kept_answer m_answer;
};

} // namespace lovagerail
