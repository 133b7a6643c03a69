// A local file with the last confirmed configuration and the deny marks (revoked keys),
// from which an instance can start while the key-value service is unavailable.
//
// Layout: 64 bytes of header (magic, format version, revision, body length, SHA-256 of
// the rest of the header and the body), then the body: a line of JSON {to, objects,
// denied}, and one line for each object's envelope, so that no more than one object is
// held as a JSON tree at a time. The whole file is rejected if any byte is changed,
// missing or added.
//
// Encoding costs O(objects); write at most every few seconds, not at each change.
#pragma once

#include "keys.h"

#include <string>
#include <string_view>
#include <vector>

namespace lovagerail {

struct snapshot {
    config_change configuration; // full
    std::vector<deny_mark> denied;
};

std::string encodeSnapshot(const snapshot& local);
// Corrupt for damaged bytes, Unsupported for a newer format.
result<snapshot> decodeSnapshot(std::string_view bytes);

// Replaces the file atomically: writes a temporary file, fsyncs it, renames it and fsyncs
// the folder.
result<void> writeFileAtomically(const std::string& path, std::string_view bytes);
// NotFound if there is no such file.
result<std::string> readWholeFile(const std::string& path);

result<void> saveSnapshot(const std::string& path, const snapshot& local);
result<snapshot> loadSnapshot(const std::string& path);

} // namespace lovagerail
