// Decides whether the answer of a target goes on with a stream: for streams of callers, those that
// callers take up, texts of batch items, and answers that another instance relays.
//
// A stream is one sequence of events with consecutive ids. Several targets may generate it in turn, each
// asked for the events behind the last one that was passed on. Nothing makes a target honour that, and a
// success may be anything, such as the page of a proxy. So the head of an answer and each of its events
// are judged before they are passed on; what doesn't go on is a failed attempt of its target.
#pragma once

#include "http_status.h"
#include "types.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace lovagerail {

using event_digest = number_id<struct event_digest_tag>;

// Whether an answer with this head is a stream. One without a body, such as status 204, is not.
constexpr bool isStreamHead(int status, bool isEventStream) { return status == statusOk && isEventStream; }

enum class event_order {
    Next, // to be passed on
    Repeated, // was passed on already, byte for byte: to be dropped
    Broken, // without an id, behind a gap, or other than what was passed on under its id
};

inline constexpr std::uint64_t largestFirstId = 1; // streams begin with event 1; one that counts from 0 does no harm

// Where an event stands in its stream. `last` is the id of the last event that was passed on, empty if
// there is none: then the event has to be the stream's first one. `isSame` tells whether an event that was passed on under
// this id, which is not above `last`, has the same content.
template <std::predicate<std::uint64_t> IsSame>
event_order orderOf(std::optional<std::uint64_t> last, std::optional<std::uint64_t> id, IsSame&& isSame)
{
    if (!id)
        return event_order::Broken;
    if (!last)
        return *id <= largestFirstId ? event_order::Next : event_order::Broken;
    if (*id <= *last)
        return isSame(*id) ? event_order::Repeated : event_order::Broken;
    return *id - *last == 1 ? event_order::Next : event_order::Broken;
}

// The events of one stream that were passed on here, of which it keeps digests.
class passed_events {
public:
    passed_events() = default;
    // A stream that was begun elsewhere: its events up to this id are not known.
    explicit passed_events(std::optional<std::uint64_t> resumedBehind)
        : m_last(resumedBehind)
    {
    }

    std::optional<std::uint64_t> last() const { return m_last; }
    // Judges an event and, if it is the next one, takes it as passed on.
    event_order add(std::optional<std::uint64_t> id, event_digest digest);

private:
    std::optional<std::uint64_t> m_last;
    std::vector<event_digest> m_digests; // of the last events, in order; the last one belongs to m_last
};

} // namespace lovagerail
