// Calls to the neighbours in the tree of instances.
#include "edge/tree_gossip.h"

#include "edge/peer_call.h"
#include "log.h"

namespace lovagerail::edge {

namespace {

    constexpr std::chrono::milliseconds gossipTimeout { 800 };

} // namespace

void sendToNeighbours(context& shared, const platform_view& platformView, const std::string& path, const std::string& body, std::string_view step)
{
    for (const auto& neighbour : platformView.neighbours()) {
        shared.net.call(peerCall(neighbour.address, path, body, gossipTimeout), [name = neighbour.name, step = std::string(step)](const http::answer& answer) {
            if (!isOk(answer))
                logEvent(log_level::Warning, step, "not_told", { { "member", name.str() }, { "status", std::to_string(answer.status) } });
        });
    }
}

} // namespace lovagerail::edge
