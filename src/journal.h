// The bounded journal of decisions that each daemon keeps in memory for `lovagectl explain`.
//
// A ring buffer: the oldest entries are dropped when all entries together exceed the byte
// limit. Texts are cut to fixed lengths, so a journal takes at most its limit plus one
// entry. Recording is O(1); a lookup scans all entries, since operators query it rarely.
// Callers record only names, numbers and reasons: never a key or a prompt.
#pragma once

#include "error.h"
#include "types.h"

#include <deque>
#include <json/json.h>
#include <string>
#include <vector>

namespace lovagerail {

enum class subject_kind : std::uint8_t {
    Request,
    Sample,
    Target,
    Order,
};
// "REQUEST", "SAMPLE", "TARGET", "ORDER"
std::string_view toString(subject_kind kind);
result<subject_kind> parseSubjectKind(std::string_view text);

struct journal_fact {
    std::string key;
    std::string value;
    friend bool operator==(const journal_fact&, const journal_fact&) = default;
};

struct journal_entry {
    wall_time at {};
    instance_id instance; // filled in by the journal
    std::uint64_t sequence = 0; // filled in by the journal
    std::string duty; // the module that decided: "router", "capacity", ...
    subject_kind kind = subject_kind::Request;
    std::string subject;
    std::string decision;
    std::string reason;
    std::vector<journal_fact> facts;
    friend bool operator==(const journal_entry&, const journal_entry&) = default;
};

constexpr byte_count journalLimit { 2u << 20 };

class decision_journal {
public:
    explicit decision_journal(instance_id self, byte_count limit = journalLimit);

    void record(journal_entry entry);
    // Entries about the subject, and entries with a fact that names it under the kind in
    // lower case as key ("target"); oldest first.
    std::vector<journal_entry> about(subject_kind kind, std::string_view subject) const;
    byte_count size() const { return m_size; }
    std::size_t entries() const { return m_entries.size(); }
    std::uint64_t dropped() const { return m_dropped; }

private:
    instance_id m_self;
    byte_count m_limit;
    byte_count m_size; // of all entries, as computed by sizeOf()
    std::deque<journal_entry> m_entries;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_dropped = 0;
};

// Merges the entries of several instances by time; entries with the same instance and
// sequence number are returned once.
std::vector<journal_entry> mergeJournals(const std::vector<std::vector<journal_entry>>& journals);
std::string journalText(const std::vector<journal_entry>& entries);
Json::Value toJson(const std::vector<journal_entry>& entries);
result<std::vector<journal_entry>> journalFromJson(const Json::Value& json);

} // namespace lovagerail
