// Where the configuration lives in the key-value service, and how reads and
// watch events become changes.
//
//   /lovagerail/config/objects/<kind>/<name>   one object's envelope
//   /lovagerail/config/head                    {count, previous, who, when, summary}
//   /lovagerail/config/history/<n>             the n-th change with what it replaced
//
// Every change is one transaction that also writes head, and compares head's
// mod_revision: so the configuration's revision is head's mod_revision, and
// all that one change wrote carries that same mod_revision.
#pragma once

#include "config.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

constexpr std::string_view configPrefix = "/lovagerail/config/";
constexpr std::string_view objectPrefix = "/lovagerail/config/objects/";
constexpr std::string_view headKey = "/lovagerail/config/head";
constexpr std::string_view historyPrefix = "/lovagerail/config/history/";

std::string objectKey(const object_ref& ref);
result<object_ref> parseObjectKey(std::string_view key);
// Padded with zeros, so that a range read gives changes in their order.
std::string historyKey(std::uint64_t number);

// A key with its value as the service holds it.
struct stored_value {
    std::string key;
    std::string value;
    revision modRevision;
};

// A watch event; a deletion has no value.
struct stored_event {
    std::string key;
    std::optional<std::string> value;
    revision modRevision;
};

struct config_head {
    std::uint64_t count = 0; // changes accepted so far
    revision previous; // head's mod_revision before this change
    std::string who;
    wall_time when {};
    std::string summary;
};
std::string encodeHead(const config_head& head);
result<config_head> decodeHead(std::string_view text);

// A full change from head and all of objectPrefix, read at one revision; other
// keys are skipped. NotFound if there is no head yet, Corrupt if the values
// can't have been read at one revision.
result<config_change> changeFromRange(std::span<const stored_value> values);
// The change behind the events of one mod_revision; they must include head.
result<config_change> changeFromEvents(std::span<const stored_event> events);

} // namespace lovagerail
