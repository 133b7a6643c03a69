// The software that began each stream of a caller. A stream may only go on where it began, also
// at another instance, and callers name the request that began it, not the software.
//
// Each record is kept for as long as a caller may take the stream up, in bounded memory.
#pragma once

#include "target_table.h"
#include "types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace lovagerail {

struct stream_origin_settings {
    duration retention = std::chrono::minutes(2); // longer than callers wait for a stream
    std::size_t maxRecords = 65536; // beyond, the oldest are dropped
};

// The name under which a stream is recorded: that of the request which began it, or a hash of one that is longer than
// any caller's, as records are many.
constexpr std::size_t maxStreamNameBytes = 128;
request_id recordedName(const request_id& stream);

class stream_origins {
public:
    explicit stream_origins(stream_origin_settings settings = {});

    // The first record of a stream counts.
    void record(const request_id& stream, const target_software& software, instant now);
    std::optional<target_software> find(const request_id& stream, instant now) const;
    void dropExpired(instant now);
    std::size_t size() const { return m_records.size(); }

private:
    struct origin {
        target_software software;
        instant recordedAt {};
    };

    stream_origin_settings m_settings;
    std::map<request_id, origin> m_records;
    std::deque<request_id> m_order; // keys of m_records, oldest first
};

} // namespace lovagerail
