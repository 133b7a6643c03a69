// Origins of streams in the store, so that streams go on at their version after all instances were
// killed while a pool runs several versions.
//
// Each instance collects the origins of such streams and sends them to its archivist, one member
// for some dozens of instances, which writes them in batches under a lease. So writes don't grow
// with streams, nor, but for the number of archivists, with instances. Entries end with their
// lease. An archivist reads them when it is first asked for a stream that it doesn't know.
#pragma once

#include "edge/context.h"
#include "edge/members.h"
#include "http/server.h"
#include "stream_origins.h"

#include <functional>
#include <json/value.h>
#include <vector>

namespace lovagerail::edge {

class origin_archive {
public:
    // Records that were read go to `origins`.
    origin_archive(context& shared, members& membership, stream_origins& origins);

    // Adds the record of a stream that began here.
    void add(Json::Value row);
    // Other members that may be asked for archived records.
    std::vector<instance_id> archivists() const;
    // Calls back once this instance has read the archive, if it is an archivist; at once if not, or
    // if it has read it lately.
    void load(std::function<void()> onLoaded);
    // Handles records from another instance.
    void onRecords(const http::exchange_ptr& exchange);
    void tick();

private:
    std::vector<instance_id> allArchivists() const;
    void send();
    void grantLease();
    void write();
    void finishLoad(const result<kv_answer>& answer);

    context& m_context;
    members& m_members;
    stream_origins& m_origins;
    Json::Value m_collected { Json::arrayValue }; // records of this instance for its archivist
    instant m_sendAt {};
    // As an archivist.
    Json::Value m_received { Json::arrayValue }; // to be written
    instant m_writeAt {};
    bool m_writing = false; // a lease is asked for, or a batch is being written
    kv_lease_id m_lease;
    instant m_leaseFrom {};
    std::uint64_t m_lastBatch = 0;
    std::vector<std::function<void()>> m_loadCallbacks; // not empty while the archive is being read
    std::optional<instant> m_loadedAt;
};

// Records of streams as JSON rows, in messages and in the store.
Json::Value originRow(const request_id& stream, const target_software& software);
target_software softwareFromRow(const Json::Value& row);
void recordRows(stream_origins& origins, const Json::Value& rows, instant now);
// The rows that another instance sent; empty if the body holds none, which is answered and logged.
std::optional<Json::Value> takeRows(const http::exchange_ptr& exchange);

} // namespace lovagerail::edge
