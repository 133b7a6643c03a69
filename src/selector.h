// Labels, and selectors over them in the syntax of Kubernetes label selectors.
//
// A selector is a comma-separated list of requirements that must all hold:
//   key = value, key == value, key != value, key in (a, b), key notin (a, b),
//   key (exists), !key (doesn't exist)
// As in Kubernetes, `!=` and `notin` also hold where the key is missing. The
// empty selector matches everything. Matching costs O(requirements x log labels).
#pragma once

#include "error.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

using labels = std::map<std::string, std::string>;

enum class requirement_kind {
    In, // the key exists and its value is one of `values`
    NotIn, // the key is missing, or its value is none of `values`
    Exists,
    Missing,
};

struct requirement {
    requirement_kind kind = requirement_kind::Exists;
    std::string key;
    std::vector<std::string> values; // sorted, unique; empty for Exists and Missing

    friend bool operator==(const requirement&, const requirement&) = default;
};

// A parsed selector. Text that doesn't parse is preserved, so that an object written
// by a newer release survives a round trip; such a selector matches nothing.
class selector {
public:
    // Matches everything.
    selector() = default;
    // Fails with InvalidArgument and the column of the syntax error.
    static result<selector> parse(std::string_view text);
    // Never fails; fault() returns the syntax error, if there is one.
    static selector parseLenient(std::string_view text);

    bool matches(const labels& set) const;
    bool matchesAll() const { return !m_fault && m_requirements.empty(); }
    const std::optional<error>& fault() const { return m_fault; }
    const std::vector<requirement>& requirements() const { return m_requirements; }
    // The original text, for storing.
    const std::string& text() const { return m_text; }
    // The canonical text; parsing it gives the same requirements.
    std::string str() const;

    friend bool operator==(const selector& left, const selector& right) { return left.m_text == right.m_text; }

private:
    std::string m_text;
    std::vector<requirement> m_requirements; // empty while m_fault is set
    std::optional<error> m_fault;
};

inline bool matches(const selector& wanted, const labels& set) { return wanted.matches(set); }

// Whether text may be a label's key or value: letters, digits and `-_./`, at
// most 63 bytes, starting and ending with a letter or digit; a value may be empty.
bool isLabelKey(std::string_view text);
bool isLabelValue(std::string_view text);

} // namespace lovagerail
