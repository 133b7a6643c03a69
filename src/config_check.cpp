// The rules for a valid configuration; see config_check.h.
#include "config_check.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <tuple>
#include <utility>

namespace lovagerail {

namespace {

    constexpr std::size_t saltDigits = 32;
    constexpr std::size_t digestDigits = 64;

    // Whether a selector matches targets of a pool. Labels that targets report themselves
    // are not known when the configuration is checked.
    enum class pool_match {
        No,
        DependsOnTargetLabels, // depends on the labels that targets report
        Yes,
    };

    pool_match matchPool(const selector& targets, const target_pool& pool, const failure_domain_id& domain)
    {
        if (targets.fault())
            return pool_match::No;
        const labels targetLabelSet = targetLabels(pool, domain, {});
        if (targets.matches(targetLabelSet))
            return pool_match::Yes;
        for (const auto& requirement : targets.requirements()) {
            if (!targetLabelSet.contains(requirement.key))
                continue;
            const bool holds = requirement.kind == requirement_kind::Exists
                || (requirement.kind != requirement_kind::Missing
                    && std::binary_search(requirement.values.begin(), requirement.values.end(), targetLabelSet.at(requirement.key)) == (requirement.kind == requirement_kind::In));
            if (!holds)
                return pool_match::No;
        }
        return pool_match::DependsOnTargetLabels;
    }

    pool_match matchPool(const selector& targets, const target_pool& pool)
    {
        auto bestMatch = pool_match::No;
        for (const auto& domain : pool.failureDomains)
            bestMatch = std::max(bestMatch, matchPool(targets, pool, domain));
        return bestMatch;
    }

    bool isHex(std::string_view text, std::size_t digits)
    {
        return text.size() == digits && std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    bool isMethod(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
    }

    std::string withoutTrailingSlashes(std::string prefix)
    {
        while (!prefix.empty() && prefix.back() == '/')
            prefix.pop_back();
        return prefix;
    }

    // Collects the faults of one configuration. Equal label sets of accounts are evaluated
    // once, so that 1,000 accounts with a few tiers cost no more than the tiers.
    class checker {
    public:
        explicit checker(const config& candidate)
            : m_config(candidate)
            , m_accounts(candidate.all<client_account>().sorted())
            , m_pools(candidate.all<target_pool>().sorted())
            , m_routes(candidate.all<route>().sorted())
            , m_runs(candidate.all<run>().sorted())
        {
            for (const auto& account : m_accounts)
                m_accountLabels.insert(account->meta.labels);
        }

        std::vector<config_fault> checkAll()
        {
            m_config.forEach([this]<typename Object>(const Object& object) {
                m_ref = { kindFor<Object>(), object.meta.name };
                checkMeta(object.meta);
                check(object);
            });
            std::stable_sort(m_faults.begin(), m_faults.end(), [](const config_fault& a, const config_fault& b) {
                return std::tie(a.severity, a.object) < std::tie(b.severity, b.object);
            });
            return std::move(m_faults);
        }

    private:
        void add(fault_severity severity, std::string field, std::string detail)
        {
            m_faults.push_back({ severity, m_ref, std::move(field), std::move(detail) });
        }

        void errorUnless(bool holds, const char* field, const std::string& detail)
        {
            if (!holds)
                add(fault_severity::Error, field, detail);
        }

        void warnUnless(bool holds, const char* field, const std::string& detail)
        {
            if (!holds)
                add(fault_severity::Warning, field, detail);
        }

        // A selector that matches nothing is an error if there is any object that it could
        // match, else a warning.
        void faultUnlessMatched(bool matched, bool anyToMatch, const char* field, const std::string& candidates)
        {
            if (!matched)
                add(anyToMatch ? fault_severity::Error : fault_severity::Warning, field, "matches no " + candidates);
        }

        bool checkSyntax(const selector& labelSelector, const char* field)
        {
            if (labelSelector.fault())
                add(fault_severity::Error, field, labelSelector.fault()->detail);
            return !labelSelector.fault();
        }

        void checkMeta(const object_meta& meta)
        {
            errorUnless(isObjectName(meta.name), "name", "must be letters, digits, '-', '_' and '.'");
            for (const auto& [key, value] : meta.labels)
                errorUnless(isLabelKey(key) && isLabelValue(value), "labels", "\"" + key + "\" or its value is no legal label");
        }

        void check(const client_account& account)
        {
            errorUnless(account.weight >= 1, "weight", "must be at least 1");
            errorUnless(account.objectives.availability >= 0 && account.objectives.availability < 1, "objectives.availability",
                "must be at least 0 and below 1");
            warnUnless(account.limits.burst == 0 || account.limits.requestsPerSecond > 0, "limits.burst", "has no effect without requests_per_second");
        }

        void check(const api_key& key)
        {
            const bool forOperator = !key.scopes.empty();
            errorUnless(forOperator == key.account.empty(), "account", "must be an account, or scopes of an operator, and not both");
            errorUnless(isHex(key.salt, saltDigits), "salt", "must be " + std::to_string(saltDigits) + " hex digits");
            errorUnless(isHex(key.digest, digestDigits), "digest", "must be " + std::to_string(digestDigits) + " hex digits");
            if (!key.withdrawn && !key.account.empty())
                errorUnless(m_config.findAccount(key.account), "account", "no client account \"" + key.account.str() + "\"");
        }

        void check(const model_version& version)
        {
            errorUnless(!version.model.empty(), "model", "must not be empty");
            errorUnless(!version.source.empty(), "source", "must not be empty");
            const auto [first, added] = m_versions.try_emplace({ version.model, version.version }, version.meta.name);
            errorUnless(added, "version", "is the same as that of model_version/" + first->second);
        }

        void check(const target_pool& pool)
        {
            errorUnless(pool.ceiling >= 1, "ceiling", "must be at least 1");
            errorUnless(pool.floor <= pool.ceiling, "floor", "must not be above the ceiling");
            errorUnless(!pool.failureDomains.empty(), "failure_domains", "must not be empty");
            const std::set<failure_domain_id> distinct(pool.failureDomains.begin(), pool.failureDomains.end());
            errorUnless(distinct.size() == pool.failureDomains.size(), "failure_domains", "must not name one twice");
            errorUnless(pool.kind == pool_kind::Service || !pool.model.empty(), "model", "an engine pool needs one");
            errorUnless(pool.firmPricePerHour >= micro_price(), "firm_price_micro_per_hour", "must not be negative");
            errorUnless(pool.cheapPricePerHour >= micro_price(), "cheap_price_micro_per_hour", "must not be negative");
            warnUnless(!pool.allowCheap || pool.cheapPricePerHour <= pool.firmPricePerHour, "cheap_price_micro_per_hour", "is above the firm price");
            if (checkSyntax(pool.accepts, "accepts"))
                faultUnlessMatched(acceptsAny(pool), !m_routes.empty() || !m_runs.empty(), "accepts", "work of any route or run");
        }

        bool acceptsAny(const target_pool& pool) const
        {
            if (pool.accepts.matchesAll())
                return true;
            const bool byRoute = std::any_of(m_routes.begin(), m_routes.end(), [&](const auto& routeObject) { return acceptsRoute(pool, *routeObject); });
            return byRoute || std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& runObject) { return acceptsRun(pool, *runObject); });
        }

        bool acceptsRoute(const target_pool& pool, const route& routeObject) const
        {
            if (pool.accepts.matchesAll() || (routeObject.open && pool.accepts.matches(workLabels(nullptr, &routeObject, nullptr))))
                return true;
            for (const auto& set : m_accountLabels) {
                if (!routeObject.accounts.matches(set))
                    continue;
                client_account account;
                account.meta.labels = set;
                if (pool.accepts.matches(workLabels(&account, &routeObject, nullptr)))
                    return true;
            }
            return false;
        }

        bool acceptsRun(const target_pool& pool, const run& runObject) const
        {
            return pool.accepts.matches(workLabels(m_config.findAccount(runObject.account), nullptr, &runObject));
        }

        void check(const route& routeObject)
        {
            checkPath(routeObject);
            for (const auto& method : routeObject.methods)
                errorUnless(isMethod(method), "methods", "\"" + method + "\" is no method in capitals");
            for (const auto& method : routeObject.idempotentMethods) {
                errorUnless(isMethod(method), "idempotent_methods", "\"" + method + "\" is no method in capitals");
                warnUnless(routeObject.methods.empty() || std::find(routeObject.methods.begin(), routeObject.methods.end(), method) != routeObject.methods.end(), "idempotent_methods",
                    "\"" + method + "\" is not among methods");
            }
            errorUnless(routeObject.deadlineMs >= 1, "deadline_ms", "must be at least 1");
            errorUnless(routeObject.maxBodyBytes >= 1, "max_body_bytes", "must be at least 1");
            if (checkSyntax(routeObject.accounts, "accounts") && !routeObject.open) {
                const bool matched = std::any_of(m_accountLabels.begin(), m_accountLabels.end(), [&](const labels& set) { return routeObject.accounts.matches(set); });
                faultUnlessMatched(matched, !m_accounts.empty(), "accounts", "client account");
            }
            if (checkSyntax(routeObject.targets, "targets"))
                checkPools(
                    routeObject.targets, [&](const target_pool& pool) { return pool.kind == routeObject.kind; }, [&](const target_pool& pool) { return m_accounts.empty() || acceptsRoute(pool, routeObject); });
        }

        void checkPath(const route& routeObject)
        {
            const bool isPlain = routeObject.pathPrefix.find_first_of("?#% ") == std::string::npos && routeObject.pathPrefix.find("//") == std::string::npos
                && routeObject.pathPrefix.find("/.") == std::string::npos;
            errorUnless(routeObject.pathPrefix.starts_with('/') && isPlain, "path_prefix", "must start with '/' and be plain");
            for (const auto& method : routeObject.methods.empty() ? std::vector<std::string> { "" } : routeObject.methods) {
                const auto [first, added] = m_paths.try_emplace({ withoutTrailingSlashes(routeObject.pathPrefix), method }, routeObject.meta.name);
                errorUnless(added, "path_prefix", "is the same as that of route/" + first->second + (method.empty() ? "" : " for " + method));
            }
        }

        // A route or run needs a pool of the right kind that its selector matches and that
        // accepts its work. `fits` tells the kind, `accepts` whether the pool accepts the work.
        template <typename Fits, typename Accepts>
        void checkPools(const selector& targets, Fits&& fits, Accepts&& accepts)
        {
            auto bestMatch = pool_match::No;
            bool accepted = false;
            for (const auto& pool : m_pools) {
                const auto match = fits(*pool) ? matchPool(targets, *pool) : pool_match::No;
                bestMatch = std::max(bestMatch, match);
                accepted = accepted || (match != pool_match::No && accepts(*pool));
            }
            errorUnless(bestMatch != pool_match::No, "targets", "matches no target pool that could serve it");
            warnUnless(bestMatch != pool_match::DependsOnTargetLabels, "targets", "matches only if targets have labels of their own to suit");
            errorUnless(bestMatch == pool_match::No || accepted, "targets", "no target pool that it matches accepts its work");
        }

        void check(const run& runObject)
        {
            errorUnless(m_config.findAccount(runObject.account), "account", "no client account \"" + runObject.account.str() + "\"");
            errorUnless(!runObject.model.empty(), "model", "must not be empty");
            errorUnless(runObject.groupSize >= 1, "group_size", "must be at least 1");
            errorUnless(runObject.groupsPerStep >= 1, "groups_per_step", "must be at least 1");
            errorUnless(runObject.weight >= 1, "weight", "must be at least 1");
            errorUnless(runObject.maxTokens >= 1, "max_tokens", "must be at least 1");
            errorUnless(runObject.judge.empty() || m_config.findRoute(runObject.judge), "judge", "no route \"" + runObject.judge.str() + "\"");
            if (checkSyntax(runObject.targets, "targets"))
                checkPools(
                    runObject.targets, [&](const target_pool& pool) { return pool.kind == pool_kind::Engine && pool.model == runObject.model; }, [&](const target_pool& pool) { return acceptsRun(pool, runObject); });
        }

        const config& m_config;
        std::vector<std::shared_ptr<const client_account>> m_accounts;
        std::vector<std::shared_ptr<const target_pool>> m_pools;
        std::vector<std::shared_ptr<const route>> m_routes;
        std::vector<std::shared_ptr<const run>> m_runs;
        std::set<labels> m_accountLabels; // distinct label sets of accounts
        std::map<std::pair<model_id, weight_version>, std::string> m_versions; // name of the first object with that version
        std::map<std::pair<std::string, std::string>, std::string> m_paths; // prefix and method to the first route with them
        object_ref m_ref; // the object being checked
        std::vector<config_fault> m_faults;
    };

} // namespace

std::string toString(const config_fault& fault)
{
    std::string text = fault.severity == fault_severity::Error ? "error: " : "warning: ";
    text += toString(fault.object) + ": ";
    if (!fault.field.empty())
        text += fault.field + ": ";
    return text + fault.detail;
}

std::vector<config_fault> checkConfig(const config& candidate)
{
    return checker(candidate).checkAll();
}

std::vector<config_fault> checkChange(const config& before, const config_change& change)
{
    std::vector<config_fault> faults;
    const auto add = [&](const object_ref& ref, std::string field, std::string detail) {
        faults.push_back({ fault_severity::Error, ref, std::move(field), std::move(detail) });
    };
    for (const auto& object : change.puts) {
        const auto* key = std::get_if<api_key>(&object);
        const auto* oldKey = key ? before.findKey(key_id(key->meta.name)) : nullptr;
        if (!oldKey)
            continue;
        if (oldKey->withdrawn && !key->withdrawn)
            add(refOf(object), "withdrawn", "a withdrawn key stays withdrawn; grant a new one");
        if (oldKey->account != key->account || oldKey->digest != key->digest || oldKey->salt != key->salt)
            add(refOf(object), "digest", "account, salt and digest of a key never change; grant a new one");
    }
    for (const auto& ref : change.deletes) {
        const auto* oldKey = ref.kind == object_kind::ApiKey ? before.findKey(key_id(ref.name)) : nullptr;
        if (oldKey && !oldKey->withdrawn)
            add(ref, "withdrawn", "withdraw the key before it is deleted");
    }
    return faults;
}

bool hasErrors(const std::vector<config_fault>& faults)
{
    return std::any_of(faults.begin(), faults.end(), [](const config_fault& fault) { return fault.severity == fault_severity::Error; });
}

} // namespace lovagerail
