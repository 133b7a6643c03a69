// Targets that have stated in an answer that they are leaving. The list of targets may show
// that later, or not at all while the store is away, so an instance that gets such an answer
// stops sending to the target at once and tells the other instances.
#pragma once

#include "edge/platform_view.h"
#include "http/server.h"
#include "platform/headers.h"

#include <map>
#include <vector>

namespace lovagerail::edge {

class departures {
public:
    departures(context& shared, const platform_view& platformView);

    // Takes note of the headers of an answer from a target that had this incarnation when
    // the request was sent.
    void observe(const target_id& target, incarnation incarnationNumber, const platform::target_head& head);
    void tick();
    // Handles departures that another instance has learned of.
    void onPeerRequest(const http::exchange_ptr& exchange);

private:
    struct departure {
        target_id target;
        incarnation incarnationNumber;
    };
    struct known_departure {
        incarnation incarnationNumber;
        instant learnedAt {};
    };

    void record(departure departed, std::string_view source);

    context& m_context;
    const platform_view& m_platformView;
    std::map<target_id, known_departure> m_known;
    std::vector<departure> m_toRelay; // new since the last round
    instant m_nextSend {};
};

} // namespace lovagerail::edge
