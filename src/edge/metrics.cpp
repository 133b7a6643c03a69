// prometheus-cpp builds the page when it is asked for, so that counting costs nothing.
#include "edge/metrics.h"
#include "http_status.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lovagerail::edge {

namespace {

    void add(prometheus::Registry& registry, const char* name, const char* help, const std::map<std::string, std::string>& labels, double value)
    {
        prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add(labels).Increment(value);
    }

} // namespace

void metrics_page::answer(const http::exchange_ptr& exchange) const
{
    prometheus::Registry registry;
    if (m_view) {
        const auto& f = m_view->forwards;
        constexpr auto requests = "lovagerail_requests_total";
        constexpr auto requestsHelp = "Requests of callers by what became of them";
        add(registry, requests, requestsHelp, { { "outcome", "arrived" } }, static_cast<double>(f.requests));
        add(registry, requests, requestsHelp, { { "outcome", "delivered" } }, static_cast<double>(f.delivered));
        add(registry, requests, requestsHelp, { { "outcome", "refused" } }, static_cast<double>(f.refused));
        add(registry, requests, requestsHelp, { { "outcome", "failed" } }, static_cast<double>(f.failed));
        add(registry, requests, requestsHelp, { { "outcome", "caller_gone" } }, static_cast<double>(f.callersGone));
        constexpr auto attempts = "lovagerail_attempts_total";
        constexpr auto attemptsHelp = "Attempts at targets for callers";
        add(registry, attempts, attemptsHelp, { { "kind", "all" } }, static_cast<double>(f.attempts));
        add(registry, attempts, attemptsHelp, { { "kind", "hedge" } }, static_cast<double>(f.hedges));
        add(registry, attempts, attemptsHelp, { { "kind", "refused_by_target" } }, static_cast<double>(f.refusedByTarget));
        add(registry, attempts, attemptsHelp, { { "kind", "crossed" } }, static_cast<double>(f.crossed));
        const auto& b = m_view->batches;
        constexpr auto items = "lovagerail_items_total";
        constexpr auto itemsHelp = "Runs and results of batch items";
        add(registry, items, itemsHelp, { { "what", "runs" } }, static_cast<double>(b.runs));
        add(registry, items, itemsHelp, { { "what", "resumed" } }, static_cast<double>(b.resumed));
        add(registry, items, itemsHelp, { { "what", "refused" } }, static_cast<double>(b.refused));
        add(registry, items, itemsHelp, { { "what", "broken" } }, static_cast<double>(b.broken));
        add(registry, items, itemsHelp, { { "what", "stalled" } }, static_cast<double>(b.stalled));
        add(registry, items, itemsHelp, { { "what", "moved" } }, static_cast<double>(b.moved));
        add(registry, items, itemsHelp, { { "what", "wrong_version" } }, static_cast<double>(b.wrongVersion));
        add(registry, items, itemsHelp, { { "what", "completed" } }, static_cast<double>(b.completed));
        add(registry, items, itemsHelp, { { "what", "abandoned" } }, static_cast<double>(b.abandoned));
        for (const auto& [cause, count] : m_view->storeCalls)
            add(registry, "lovagerail_store_calls_total", "Calls to the store by cause", { { "cause", cause } }, static_cast<double>(count));
        prometheus::BuildGauge().Name("lovagerail_open_requests").Help("Requests under way").Register(registry).Add({}).Set(static_cast<double>(m_view->openForwards));
        prometheus::BuildGauge().Name("lovagerail_open_batches").Help("Batches of this instance that are not ended").Register(registry).Add({}).Set(static_cast<double>(m_view->openBatches));
    }
    exchange->answer(statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, prometheus::TextSerializer().Serialize(registry.Collect()));
}

} // namespace lovagerail::edge
