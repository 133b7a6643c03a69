// Layout of the configuration in the key-value service, and conversion of reads and watch
// events into changes.
//
//   /lovagerail/config/objects/<kind>/<name>   one object's envelope
//   /lovagerail/config/head                    {count, previous, who, when, summary}
//   /lovagerail/config/history/<n>             the n-th change with what it replaced
//
// Every change is one transaction that compares head's mod_revision and writes head. So the
// revision of the configuration is head's mod_revision, and all keys written by one change
// have that mod_revision.
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
// Zero-padded, so that a range read returns the changes in order.
std::string historyKey(std::uint64_t number);

// A key and its value as stored in the service.
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
    std::string author;
    wall_time when {};
    std::string summary;
};
std::string encodeHead(const config_head& head);
result<config_head> decodeHead(std::string_view text);

// Makes a full change from the values of head and of all keys under objectPrefix, read at
// one revision; other keys are skipped. Fails with NotFound if there is no head yet, and
// with Corrupt if the values can't have been read at one revision.
result<config_change> changeFromRange(std::span<const stored_value> values);
// Makes the change that caused the events of one mod_revision, which must include head.
result<config_change> changeFromEvents(std::span<const stored_event> events);

} // namespace lovagerail
