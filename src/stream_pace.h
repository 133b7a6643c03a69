// Average time between the events of token streams, over time rather than over events: a stretch of
// a second counts the same whether many events came in it or few, so that short noise on a shared
// machine, with few events, is not mistaken for lasting slowness.
#pragma once

#include "types.h"

#include <chrono>
#include <cmath>
#include <cstddef>
#include <optional>

namespace lovagerail {

class pace_average {
public:
    // `seconds` of one stream in which so many events came; older stretches count half after each half-life.
    void add(double seconds, std::size_t events, duration halfLife, instant now)
    {
        if (m_events > 0) {
            const double kept = std::exp2(-std::chrono::duration<double>(now - m_at).count() / std::chrono::duration<double>(halfLife).count());
            m_seconds *= kept;
            m_events *= kept;
        }
        m_seconds += seconds;
        m_events += static_cast<double>(events);
        m_at = now;
    }
    // Replaces the average by the evidence of another one.
    void assign(const pace_average& other, instant now)
    {
        *this = other;
        m_at = now;
    }
    // Seconds between two events; empty without events, or if the newest is older than `expiry`.
    std::optional<double> secondsPerEvent(duration expiry, instant now) const
    {
        if (m_events <= 0 || now - m_at >= expiry)
            return std::nullopt;
        return m_seconds / m_events;
    }

private:
    double m_seconds = 0; // not negative
    double m_events = 0; // not negative; 0 until add() was called
    instant m_at {}; // of the last add()
};

} // namespace lovagerail
