// Builds the Prometheus registry only when the page is requested, so that counting itself
// is a plain increment.
#include "edge/metrics.h"
#include "http_status.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <initializer_list>

namespace lovagerail::edge {

namespace {

    struct labelled_count {
        const char* label;
        std::uint64_t value;
    };

    // Adds one counter family with a series for each value of a label.
    void add(prometheus::Registry& registry, const char* name, const char* help, const char* label, std::initializer_list<labelled_count> counts)
    {
        auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
        for (const auto& series : counts)
            family.Add({ { label, series.label } }).Increment(static_cast<double>(series.value));
    }

    // Slots that each model gets of a pool that is short of them, and those that it wants.
    void addShares(prometheus::Registry& registry, const std::map<service_id, std::vector<slot_share>>& shares)
    {
        auto& family = prometheus::BuildGauge().Name("lovagerail_pool_share_slots").Help("Slots of pools that are short of them, by model").Register(registry);
        for (const auto& [service, models] : shares) {
            for (const auto& share : models) {
                const auto set = [&family, &share, &name = service](const char* what, std::size_t slots) {
                    family.Add({ { "service", name.str() }, { "model", share.model.str() }, { "owner", share.owner.str() }, { "behind", share.behind.str() }, { "what", what } }).Set(static_cast<double>(slots));
                };
                set("share", share.slots);
                set("fair", share.fair);
                set("wanted", share.wanted);
            }
        }
    }

    void add(prometheus::Registry& registry, const char* name, const char* help, const char* label, const std::map<std::string_view, std::uint64_t>& counts)
    {
        auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
        for (const auto& [value, count] : counts)
            family.Add({ { label, std::string(value) } }).Increment(static_cast<double>(count));
    }

    struct labelled_time {
        const char* label;
        duration value;
    };

    void addSeconds(prometheus::Registry& registry, const char* name, const char* help, const char* label, std::initializer_list<labelled_time> times)
    {
        auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
        for (const auto& series : times)
            family.Add({ { label, series.label } }).Increment(std::chrono::duration<double>(series.value).count());
    }

} // namespace

void metrics_page::answer(const http::exchange_ptr& exchange) const
{
    prometheus::Registry registry;
    if (m_view) {
        const auto& f = m_view->forwards;
        add(registry, "lovagerail_requests_total", "Requests of callers by what became of them", "outcome",
            { { "arrived", f.requests }, { "delivered", f.delivered }, { "refused", f.refused }, { "failed", f.failed }, { "caller_gone", f.disconnectedCallers }, { "quarantined", f.quarantined }, { "rate_limited", f.rateLimited } });
        add(registry, "lovagerail_attempts_total", "Attempts at targets for callers", "kind",
            { { "all", f.attempts }, { "hedge", f.hedges }, { "refused_by_target", f.refusedByTarget }, { "crossed", f.crossed }, { "resumed", f.resumed } });
        add(registry, "lovagerail_hedges_total", "Second attempts within the limit on extra work by what became of them", "outcome",
            { { "won", f.hedgesWon }, { "lost", f.hedgesLost }, { "cancelled", f.hedgesCancelled } });
        add(registry, "lovagerail_hedges_started_total", "Second attempts within the limit on extra work", "reason", f.hedgesStarted);
        add(registry, "lovagerail_hedges_refused_total", "Slow requests that got no second attempt at first, by the limit that refused it", "limit", f.hedgesRefused);
        addSeconds(registry, "lovagerail_target_work_seconds_total", "Time on targets", "kind", { { "first", f.countedWork }, { "extra", f.extraWork } });
        addSeconds(registry, "lovagerail_hedges_saved_seconds_total", "Expected time that won second attempts saved their callers", "kind", { { "expected", f.timeSaved } });
        const auto& b = m_view->batches;
        add(registry, "lovagerail_items_total", "Runs and results of batch items", "what",
            { { "runs", b.runs }, { "resumed", b.resumed }, { "refused", b.refused }, { "broken", b.broken }, { "stalled", b.stalled }, { "moved", b.moved }, { "wrong_version", b.wrongVersion },
                { "completed", b.completed }, { "abandoned", b.abandoned }, { "reused", b.reused }, { "begun_anew", b.begunAnew }, { "stored", b.saved } });
        add(registry, "lovagerail_contention_total", "Batches that gave way to others, and ticks in which items waited only for their model's share", "what", { { "late", b.late }, { "held", b.held } });
        auto& calls = prometheus::BuildCounter().Name("lovagerail_store_calls_total").Help("Calls to the store by cause").Register(registry);
        for (const auto& [cause, count] : m_view->storeCalls)
            calls.Add({ { "cause", cause } }).Increment(static_cast<double>(count));
        if (m_view->shares != nullptr)
            addShares(registry, *m_view->shares);
        const auto& c = m_view->connections;
        add(registry, "lovagerail_target_connections_total", "Requests on kept connections to targets, and new connections by cause", "use",
            { { "reused", c.reused }, { "first_use", c.of(connection_cause::FirstUse) }, { "closed_by_target", c.of(connection_cause::ClosedByTarget) }, { "cancelled", c.of(connection_cause::Cancelled) },
                { "reuse_forbidden", c.of(connection_cause::ReuseForbidden) }, { "all_busy", c.of(connection_cause::AllBusy) } });
        prometheus::BuildGauge().Name("lovagerail_open_requests").Help("Requests under way").Register(registry).Add({}).Set(static_cast<double>(m_view->openForwards));
        prometheus::BuildGauge().Name("lovagerail_open_batches").Help("Batches of this instance that are not ended").Register(registry).Add({}).Set(static_cast<double>(m_view->openBatches));
        prometheus::BuildGauge().Name("lovagerail_evacuated_failure_domains").Help("Failure domains that get no new requests, as operators asked").Register(registry).Add({}).Set(static_cast<double>(m_view->evacuatedDomains));
        add(registry, "lovagerail_clients_refused_total", "Requests refused, and transfers and connections closed, for want of room", "reason",
            { { "no_room", m_view->pressure.overloaded }, { "body_too_large", m_view->pressure.tooLarge }, { "stalled", m_view->pressure.stalled }, { "idle_connection", m_view->pressure.idle } });
        prometheus::BuildGauge().Name("lovagerail_client_bytes").Help("Memory charged to what clients send and hold open").Register(registry).Add({}).Set(static_cast<double>(m_view->clientBytes));
        prometheus::BuildGauge().Name("lovagerail_slow_targets").Help("Targets that state a slowdown lasting seconds").Register(registry).Add({}).Set(static_cast<double>(m_view->slowTargets));
    }
    exchange->answer(statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, prometheus::TextSerializer().Serialize(registry.Collect()));
}

} // namespace lovagerail::edge
