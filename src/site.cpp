// Look-ups of routes and services in a site's configuration.
#include "site.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace lovagerail {

namespace {

    // Host names are compared case-insensitively and without the port.
    std::string normalizedHost(std::string_view host)
    {
        std::string out(host.substr(0, host.find(':')));
        std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return out;
    }

} // namespace

const site_route* site_config::find(std::string_view host, std::string_view path) const
{
    const auto wantedHost = normalizedHost(host);
    const site_route* best = nullptr;
    for (const auto& route : routes) {
        if (route.host != wantedHost || path.substr(0, route.prefix.size()) != route.prefix)
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

const site_service* site_config::service(const service_id& id) const
{
    const auto found = services.find(id);
    return found == services.end() ? nullptr : &found->second;
}

std::int32_t site_config::priorityOf(const site_route& route, const client_account_id& account) const
{
    const auto found = accounts.find(account);
    return found != accounts.end() && found->second.priority >= 0 ? found->second.priority : route.priority;
}

bool site_config::prioritiesDiffer(const service_id& service) const
{
    std::set<std::int32_t> priorities;
    for (const auto& route : routes) {
        if (std::any_of(route.services.begin(), route.services.end(), [&service](const weighted_service& one) { return one.service == service; }))
            priorities.insert(route.priority);
    }
    if (priorities.empty())
        return false;
    for (const auto& [id, account] : accounts) {
        if (account.priority >= 0)
            priorities.insert(account.priority);
    }
    return priorities.size() > 1;
}

region_list site_config::allowedRegions(const site_route* route, const client_account_id& account) const
{
    const auto found = accounts.find(account);
    return commonRegions(route == nullptr ? region_list() : route->allowedRegions, found == accounts.end() ? region_list() : found->second.allowedRegions);
}

bool site_config::hasRegionRules() const
{
    return std::any_of(routes.begin(), routes.end(), [](const site_route& route) { return route.allowedRegions.has_value(); })
        || std::any_of(accounts.begin(), accounts.end(), [](const auto& entry) { return entry.second.allowedRegions.has_value(); });
}

} // namespace lovagerail
