// Basic types used everywhere: strongly typed identifiers, units and points in time.
//
// Nothing here reads a clock. Decision modules take an `instant` as an argument, so that
// tests, replay and the daemon can run the same code.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace lovagerail {

// A strongly typed name; names with different tags can't be mixed up.
template <typename Tag>
class name_id {
public:
    name_id() = default;
    explicit name_id(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string& str() const { return m_text; }
    bool empty() const { return m_text.empty(); }

    friend auto operator<=>(const name_id&, const name_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const name_id& id) { return out << id.m_text; }

private:
    std::string m_text;
};

// A strongly typed number; numbers with different tags can't be mixed up.
template <typename Tag, typename Rep = std::uint64_t>
class number_id {
public:
    using rep = Rep;

    constexpr number_id() = default;
    constexpr explicit number_id(Rep number)
        : m_number(number)
    {
    }

    constexpr Rep value() const { return m_number; }
    constexpr number_id next() const { return number_id(m_number + 1); }

    friend constexpr auto operator<=>(const number_id&, const number_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const number_id& id) { return out << id.m_number; }

private:
    Rep m_number = 0;
};

// A strongly typed amount of one unit; can only be added to and subtracted from its own kind.
template <typename Tag, typename Rep = std::uint64_t>
class amount {
public:
    using rep = Rep;

    constexpr amount() = default;
    constexpr explicit amount(Rep count)
        : m_count(count)
    {
    }

    constexpr Rep count() const { return m_count; }
    constexpr amount& operator+=(amount other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr amount& operator-=(amount other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr amount operator+(amount left, amount right) { return left += right; }
    friend constexpr amount operator-(amount left, amount right) { return left -= right; }
    friend constexpr auto operator<=>(const amount&, const amount&) = default;
    friend std::ostream& operator<<(std::ostream& out, const amount& a) { return out << a.m_count; }

private:
    Rep m_count = 0;
};

using instance_id = name_id<struct instance_tag>;
using failure_domain_id = name_id<struct failure_domain_tag>;
using client_account_id = name_id<struct client_account_tag>;
using target_id = name_id<struct target_tag>;
using pool_id = name_id<struct pool_tag>;
using route_id = name_id<struct route_tag>;
using model_id = name_id<struct model_tag>;
using run_id = name_id<struct run_tag>;
using key_id = name_id<struct key_tag>;
using duty_id = name_id<struct duty_tag>;
using request_id = name_id<struct request_tag>;

// One attempt of one request at one target. Unique per daemon incarnation.
using attempt_id = number_id<struct attempt_tag>;
// Position in the order of accepted configuration changes, assigned by the key-value service.
using revision = number_id<struct revision_tag>;
// Increases with each holder of a duty; peers refuse an order with an older number.
using fencing_number = number_id<struct fencing_tag>;
// Increases with each start of an instance or target of the same name.
using incarnation = number_id<struct incarnation_tag>;
using weight_version = number_id<struct weight_version_tag>;
using step_number = number_id<struct step_tag>;
using group_number = number_id<struct group_tag, std::uint32_t>;
using sample_number = number_id<struct sample_tag, std::uint32_t>;

using token_count = amount<struct token_tag>;
using byte_count = amount<struct byte_tag>;
// Money in millionths of the platform's currency.
using micro_price = amount<struct micro_price_tag, std::int64_t>;

using duration = std::chrono::nanoseconds;
inline duration scale(duration span, double factor) { return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(span) * factor); }

// The monotonic clock of `instant`s. It has no now(): decision modules get the time as an argument.
struct decision_clock {
    using duration = lovagerail::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): clocks must have this name
};
using instant = decision_clock::time_point;

// Calendar time, which may jump; for expiries shared between machines, usage windows and logs.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace lovagerail

template <typename Tag>
struct std::hash<lovagerail::name_id<Tag>> {
    std::size_t operator()(const lovagerail::name_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};

template <typename Tag, typename Rep>
struct std::hash<lovagerail::number_id<Tag, Rep>> {
    std::size_t operator()(const lovagerail::number_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>()(id.value());
    }
};
