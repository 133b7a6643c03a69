// The local copy of the last confirmed configuration and deny marks, from which
// an instance with a small disk starts while the key-value service is away.
//
// Layout: 64 bytes of header (magic, format version, revision, body length,
// SHA-256 over the rest of the header and the body), then the body: a line of
// JSON {to, objects, denied}, and a line for each object's envelope, so that
// no more than one object is held as a JSON tree at a time. Any byte that is
// flipped, cut off or added makes the file fail as a whole.
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

// Replaces the file atomically: temporary file, fsync, rename, fsync of the folder.
result<void> writeFileAtomically(const std::string& path, std::string_view bytes);
// NotFound if there is none.
result<std::string> readWholeFile(const std::string& path);

result<void> saveSnapshot(const std::string& path, const snapshot& local);
result<snapshot> loadSnapshot(const std::string& path);

} // namespace lovagerail
