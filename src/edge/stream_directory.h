// Where streams of callers began, known to all instances: the one that begins a stream keeps a
// record and sends copies to members chosen by rendezvous hashing over the stream's request id;
// an instance where a caller takes it up asks the same members. While a pool runs several software
// versions, records also go to the store (origin_archive.h).
#pragma once

#include "edge/context.h"
#include "edge/members.h"
#include "edge/origin_archive.h"
#include "http/server.h"
#include "stream_origins.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <vector>

namespace lovagerail::edge {

class software_versions;

class stream_directory {
public:
    stream_directory(context& shared, members& membership, const software_versions& versions);

    // The first event of the stream is about to reach its caller.
    void begun(const request_id& caller, const target_software& software);
    // Calls back with the software that began the stream, or nothing if no instance knows it; from a
    // later round of the event loop, unless this instance knows.
    using found_function = std::function<void(const std::optional<target_software>&)>;
    void find(const request_id& caller, found_function onFound);
    // Sends copies of new records.
    void tick();
    // Handles copies of records from another instance.
    void onCopies(const http::exchange_ptr& exchange);
    // Handles records for the archive from another instance.
    void onArchive(const http::exchange_ptr& exchange) { m_archive.onRecords(exchange); }
    // Handles the question of another instance where a stream began.
    void onQuestion(const http::exchange_ptr& exchange);

private:
    std::vector<instance_id> keepersOf(const request_id& stream, std::size_t count) const;

    context& m_context;
    members& m_members;
    const software_versions& m_versions;
    stream_origins m_origins;
    origin_archive m_archive;
    std::map<instance_id, Json::Value> m_toSend; // records to copy, by member
};

} // namespace lovagerail::edge
