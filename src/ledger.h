// The durable state of a run in the key-value service: one head and the pages of its open
// steps.
//
// All changes of a run's state are serialized by its head: change of coordinator,
// published version, sealing, hand-over to the trainer, acknowledgement. Each write is
// one transaction that compares the head's revision, replaces the head, and puts or
// removes pages with it. So no page exists without a head that lists it, and a write of
// an earlier coordinator fails once its successor has written.
//
// A page is a batch of records in append order: a later record of a slot replaces
// an earlier one. Pages are removed by the transaction that acknowledges their step.
#pragma once

#include "attribution.h"
#include "error.h"
#include "types.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

// The key-value service stores values up to a megabyte; base64 is used only on the wire.
constexpr std::size_t maxPageBytes = 1'000'000;
// Records in one page; see bytesPerSlotBound().
constexpr std::size_t maxPageRecords = 8'192;

// Truncated SHA-256 of a payload.
struct payload_digest {
    std::array<std::uint8_t, 16> bytes {};

    friend auto operator<=>(const payload_digest&, const payload_digest&) = default;
};
payload_digest digestOf(std::string_view payload);
std::string toHex(const payload_digest& digest);

// An instance that stores a copy of a payload. A restart loses the copy unless the instance
// has a data folder.
struct payload_holder {
    instance_id instance;
    incarnation started;

    friend auto operator<=>(const payload_holder&, const payload_holder&) = default;
};

// The position of one sample in a run.
struct slot_id {
    step_number step;
    group_number group;
    sample_number sample;

    friend auto operator<=>(const slot_id&, const slot_id&) = default;
};

// A prompt group that the trainer supplied.
struct group_record {
    group_number group;
    payload_digest prompt;
    std::uint32_t maxTokens = 0;
    std::vector<payload_holder> holders;

    friend bool operator==(const group_record&, const group_record&) = default;
};

// A judged sample whose payload is stored.
struct sample_record {
    group_number group;
    sample_number sample;
    attempt_id attempt;
    payload_digest payload;
    std::vector<version_span> spans;
    std::vector<payload_holder> holders;

    friend bool operator==(const sample_record&, const sample_record&) = default;
};

struct ledger_page {
    std::vector<group_record> groups;
    std::vector<sample_record> samples;
};

enum class step_phase {
    Open,
    HandedOver,
};

struct ledger_step {
    step_number step;
    step_phase phase = step_phase::Open;
    // Incremented when part of a batch has to be generated again after its hand-over.
    std::uint32_t generation = 0;
    // True once any generation was handed over: the trainer may acknowledge it.
    bool everHandedOver = false;
    // The trainer's version at the hand-over; sample ages are relative to it.
    weight_version handedVersion;
    // Digest of each page, by page number from 0.
    std::vector<payload_digest> pages;

    friend bool operator==(const ledger_step&, const ledger_step&) = default;
};

struct ledger_head {
    fencing_number fencing;
    weight_version trainerVersion;
    // First step that isn't acknowledged; also the next cursor to hand over.
    step_number acknowledged;
    // Steps from `acknowledged` on that have pages, in order.
    std::vector<ledger_step> steps;

    ledger_step* find(step_number step);
    const ledger_step* find(step_number step) const;

    friend bool operator==(const ledger_head&, const ledger_head&) = default;
};

std::string encodeLedgerHead(const ledger_head& head);
result<ledger_head> decodeLedgerHead(std::string_view bytes);

// Compact binary format: each set of holders once per page, varints, checksum at the end.
std::string encodePage(const ledger_page& page);
result<ledger_page> decodePage(std::string_view bytes);

// Upper bound of the size of a sample's record in bytes, without the holder table.
std::size_t bytesPerSlotBound(std::size_t spans);

// Keys: "<prefix>runs/<run>/head" and "<prefix>runs/<run>/pages/<step>/<number>".
std::string ledgerHeadKey(std::string_view prefix, const run_id& run);
std::string pagesPrefix(std::string_view prefix, const run_id& run);
std::string stepPagesPrefix(std::string_view prefix, const run_id& run, step_number step);
std::string pageKey(std::string_view prefix, const run_id& run, step_number step, std::size_t number);

// Upper bound of the writes to the service for one step of `stepTime` without failures,
// whose groups come in `supplyCalls` calls.
std::size_t writesPerStep(std::size_t samples, std::size_t sealBatch, duration stepTime, duration sealWait, std::size_t supplyCalls);

} // namespace lovagerail
