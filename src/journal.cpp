// The bounded decision journal, its merge and its text and JSON forms; see journal.h.
#include "journal.h"

#include "time_text.h"

#include <algorithm>
#include <tuple>

namespace lovagerail {
namespace {

    constexpr std::string_view journalStep = "journal.decode";
    constexpr std::size_t maxNameBytes = 160; // duty, subject, decision, fact keys and values
    constexpr std::size_t maxReasonBytes = 240;
    constexpr std::size_t maxFacts = 8;
    constexpr std::size_t entryOverhead = sizeof(journal_entry);

    // Truncates a UTF-8 text, but never inside a character.
    void truncate(std::string& text, std::size_t limit)
    {
        if (text.size() <= limit)
            return;
        while (limit > 0 && (static_cast<unsigned char>(text[limit]) & 0xc0u) == 0x80u)
            --limit;
        text.resize(limit);
        text.shrink_to_fit();
    }

    void truncate(journal_entry& entry)
    {
        truncate(entry.duty, maxNameBytes);
        truncate(entry.subject, maxNameBytes);
        truncate(entry.decision, maxNameBytes);
        truncate(entry.reason, maxReasonBytes);
        if (entry.facts.size() > maxFacts)
            entry.facts.resize(maxFacts);
        for (journal_fact& fact : entry.facts) {
            truncate(fact.key, maxNameBytes);
            truncate(fact.value, maxNameBytes);
        }
    }

    std::uint64_t sizeOf(const journal_entry& entry)
    {
        std::size_t size = entryOverhead + entry.instance.str().capacity() + entry.duty.capacity() + entry.subject.capacity()
            + entry.decision.capacity() + entry.reason.capacity();
        for (const journal_fact& fact : entry.facts)
            size += sizeof(journal_fact) + fact.key.capacity() + fact.value.capacity();
        return size;
    }

    bool isAbout(const journal_entry& entry, subject_kind kind, std::string_view subject)
    {
        if (entry.kind == kind && entry.subject == subject)
            return true;
        const std::string_view name = toString(kind);
        return std::any_of(entry.facts.begin(), entry.facts.end(), [&](const journal_fact& fact) {
            return fact.value == subject && std::equal(fact.key.begin(), fact.key.end(), name.begin(), name.end(), [](char left, char right) {
                return left == static_cast<char>(right - 'A' + 'a');
            });
        });
    }

    Json::Value entryJson(const journal_entry& entry)
    {
        Json::Value json(Json::objectValue);
        json["at_ms"] = Json::Int64(entry.at.time_since_epoch().count());
        json["instance"] = entry.instance.str();
        json["sequence"] = Json::UInt64(entry.sequence);
        json["duty"] = entry.duty;
        json["kind"] = std::string(toString(entry.kind));
        json["subject"] = entry.subject;
        json["decision"] = entry.decision;
        json["reason"] = entry.reason;
        json["facts"] = Json::Value(Json::arrayValue);
        for (const journal_fact& fact : entry.facts) {
            Json::Value pair(Json::arrayValue);
            pair.append(fact.key);
            pair.append(fact.value);
            json["facts"].append(pair);
        }
        return json;
    }

    result<journal_entry> entryFromJson(const Json::Value& json)
    {
        if (!json.isObject() || !json["at_ms"].isInt64() || !json["sequence"].isUInt64() || !json["facts"].isArray())
            return failure(error_code::InvalidArgument, journalStep, "an entry is malformed");
        for (const char* field : { "instance", "duty", "kind", "subject", "decision", "reason" }) {
            if (!json[field].isString())
                return failure(error_code::InvalidArgument, journalStep, std::string("an entry lacks ") + field);
        }
        const auto kind = parseSubjectKind(json["kind"].asString());
        if (!kind)
            return tl::make_unexpected(kind.error());
        journal_entry entry { wall_time(std::chrono::milliseconds(json["at_ms"].asInt64())), instance_id(json["instance"].asString()),
            json["sequence"].asUInt64(), json["duty"].asString(), *kind, json["subject"].asString(), json["decision"].asString(), json["reason"].asString(), {} };
        for (const Json::Value& pair : json["facts"]) {
            if (!pair.isArray() || pair.size() != 2 || !pair[0].isString() || !pair[1].isString())
                return failure(error_code::InvalidArgument, journalStep, "a fact is malformed");
            entry.facts.push_back({ pair[0].asString(), pair[1].asString() });
        }
        return entry;
    }

} // namespace

std::string_view toString(subject_kind kind)
{
    switch (kind) {
    case subject_kind::Request:
        return "REQUEST";
    case subject_kind::Sample:
        return "SAMPLE";
    case subject_kind::Target:
        return "TARGET";
    case subject_kind::Order:
        return "ORDER";
    }
    return "UNKNOWN";
}

result<subject_kind> parseSubjectKind(std::string_view text)
{
    for (const subject_kind kind : { subject_kind::Request, subject_kind::Sample, subject_kind::Target, subject_kind::Order }) {
        if (toString(kind) == text)
            return kind;
    }
    return failure(error_code::InvalidArgument, journalStep, "a subject is one of REQUEST, SAMPLE, TARGET, ORDER");
}

decision_journal::decision_journal(instance_id self, byte_count limit)
    : m_self(std::move(self))
    , m_limit(limit)
{
}

void decision_journal::record(journal_entry entry)
{
    // Step 1. Limit the entry's size, and add instance and sequence number.
    truncate(entry);
    entry.instance = m_self;
    entry.sequence = ++m_sequence;
    m_size += byte_count(sizeOf(entry));
    m_entries.push_back(std::move(entry));
    // Step 2. Drop the oldest entries above the limit.
    while (m_size > m_limit && m_entries.size() > 1) {
        m_size -= byte_count(sizeOf(m_entries.front()));
        m_entries.pop_front();
        ++m_dropped;
    }
}

std::vector<journal_entry> decision_journal::about(subject_kind kind, std::string_view subject) const
{
    std::vector<journal_entry> found;
    for (const journal_entry& entry : m_entries) {
        if (isAbout(entry, kind, subject))
            found.push_back(entry);
    }
    return found;
}

std::vector<journal_entry> mergeJournals(const std::vector<std::vector<journal_entry>>& journals)
{
    std::vector<journal_entry> merged;
    for (const auto& journal : journals)
        merged.insert(merged.end(), journal.begin(), journal.end());
    const auto sortKey = [](const journal_entry& entry) { return std::tie(entry.at, entry.instance, entry.sequence); };
    std::sort(merged.begin(), merged.end(), [sortKey](const journal_entry& left, const journal_entry& right) { return sortKey(left) < sortKey(right); });
    const auto same = [sortKey](const journal_entry& left, const journal_entry& right) { return sortKey(left) == sortKey(right); };
    merged.erase(std::unique(merged.begin(), merged.end(), same), merged.end());
    return merged;
}

std::string journalText(const std::vector<journal_entry>& entries)
{
    std::string text;
    for (const journal_entry& entry : entries) {
        text += formatTimeMillis(entry.at) + "  " + entry.instance.str() + "  " + entry.duty + "  ";
        text += std::string(toString(entry.kind)) + " " + entry.subject + ": " + entry.decision + "\n";
        if (!entry.reason.empty())
            text += "    because " + entry.reason + "\n";
        for (const journal_fact& fact : entry.facts)
            text += "    " + fact.key + "=" + fact.value + "\n";
    }
    return text;
}

Json::Value toJson(const std::vector<journal_entry>& entries)
{
    Json::Value json(Json::arrayValue);
    for (const journal_entry& entry : entries)
        json.append(entryJson(entry));
    return json;
}

result<std::vector<journal_entry>> journalFromJson(const Json::Value& json)
{
    std::vector<journal_entry> entries;
    if (!json.isArray())
        return failure(error_code::InvalidArgument, journalStep, "a journal is not a list");
    for (const Json::Value& item : json) {
        auto entry = entryFromJson(item);
        if (!entry)
            return tl::make_unexpected(entry.error());
        entries.push_back(std::move(*entry));
    }
    return entries;
}

} // namespace lovagerail
