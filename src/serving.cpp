// Arrival and refusal of requests, deadlines, and updates of configuration and keys; the
// handling of attempts is in serving_attempt.cpp, that of queues in serving_queue.cpp.
#include "serving.h"

#include "http_status.h"
#include "serving_edge.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <json/json.h>

namespace lovagerail {

namespace {

    // Attempts are numbered from here, above the numbers of all other transfers of a daemon.
    constexpr std::uint64_t attemptNumberBase = std::uint64_t(1) << 40;
    constexpr duration defaultRetryAfter = std::chrono::seconds(1);
    constexpr duration cleanupInterval = std::chrono::seconds(1);
    constexpr std::string_view trainerPrefix = "/rollout/v1/";

} // namespace

serving::serving(serving_settings settings)
    : m_settings(std::move(settings))
    , m_config(std::make_shared<const config>())
    , m_router([this] {
        router_settings routerSettings;
        routerSettings.instance = m_settings.instance.str();
        routerSettings.failureDomain = m_settings.failureDomain;
        routerSettings.policy = m_settings.policy;
        return routerSettings;
    }())
    , m_quarantine(m_settings.quarantine)
    , m_retries(m_settings.retries)
    , m_limiter(m_settings.limits)
    , m_idempotencyStore(m_settings.idempotency)
{
}

// Request ids are unique across instances and their restarts.
request_id serving::newRequestId()
{
    char text[40];
    std::snprintf(text, sizeof text, "-%llx-%llx", static_cast<unsigned long long>(m_settings.incarnationNumber.value()), static_cast<unsigned long long>(++m_lastRequest));
    return request_id(m_settings.instance.str() + text);
}

attempt_id serving::newAttemptId()
{
    const auto number = ++m_lastAttempt;
    return attempt_id(attemptNumberBase + number);
}

std::string serving::attemptName(attempt_id attempt) const
{
    char text[40];
    std::snprintf(text, sizeof text, "-%llx-a%llx", static_cast<unsigned long long>(m_settings.incarnationNumber.value()),
        static_cast<unsigned long long>(attempt.value() - attemptNumberBase));
    return m_settings.instance.str() + text;
}

// --- Configuration and keys -------------------------------------------------------

// Applies a newer configuration. Routing classes are defined again by the next request
// that needs them.
void serving::setConfig(config_ptr inForce)
{
    m_config = std::move(inForce);
    m_keys.update(m_config);
    for (const auto& name : m_definedClasses)
        m_router.removeClass(name);
    m_definedClasses.clear();
    // The new configuration may allow waiting requests on other targets.
    for (const auto& [dueAt, number] : m_waiting)
        reclassify(m_requests.at(number));
}

// Determines a request's routing class anew under the current configuration.
void serving::reclassify(open_request& request)
{
    work item;
    item.account = m_config->findAccount(request.account);
    item.requestRoute = m_config->findRoute(request.route);
    item.rolloutRun = m_config->findRun(request.run);
    if (request.generationState)
        item.model = request.generationState->wanted().model;
    classify(request, item);
}

std::vector<serving_action> serving::deny(const std::vector<deny_mark>& marks, instant now)
{
    const auto denied = m_keys.merge(marks);
    const std::set<key_id> deniedKeys(denied.begin(), denied.end());
    std::vector<request_number> affected;
    for (const auto& [number, request] : m_requests) {
        if (deniedKeys.contains(request.key))
            affected.push_back(number);
    }
    std::sort(affected.begin(), affected.end());
    for (const auto number : affected) {
        auto& request = m_requests.at(number);
        if (request.attempt)
            m_actions.push_back(cancel_attempt { request.attempt->id });
        refuse(request, statusUnauthorized, "key_withdrawn", "the key was withdrawn", {}, now, wall_time {});
    }
    return takeActions();
}

// --- Refusals --------------------------------------------------------------------

void serving::refuse(caller_handle handle, int status, std::string_view outcome, std::string_view reason, std::string_view message, duration retryAfter)
{
    ++m_counts.refused;
    m_actions.push_back(makeRefusal(handle, {}, status, outcome, reason, message, retryAfter));
}

// Ends an admitted request with a refusal whose outcome says whether it can have run.
void serving::refuse(open_request& request, int status, std::string_view reason, std::string_view message, duration retryAfter, instant now, wall_time wall)
{
    const bool ranPartly = request.generationState && request.generationState->started();
    const std::string_view outcome = ranPartly ? "ran" : request.mayHaveRun || request.attempt ? "unknown"
                                                                                               : "not_run";
    if (request.attempt) {
        request.mayHaveRun = true;
        endAttempt(request, attempt_outcome::Timeout, usage_heading::Died, now);
    }
    logDecision(request, "refused", std::string(reason), wall, { { "outcome", std::string(outcome) } });
    if (request.job) {
        job_event jobEvent;
        jobEvent.job = *request.job;
        jobEvent.notRun = outcome == "not_run";
        jobEvent.reason = std::string(reason);
        m_actions.push_back(std::move(jobEvent));
    } else if (request.answerBegun) {
        m_actions.push_back(abort_answer { *request.caller });
    } else {
        m_actions.push_back(makeRefusal(*request.caller, request.id, status, outcome, reason, message, retryAfter));
    }
    const bool refused = outcome == "not_run";
    ++(refused ? m_counts.refused : m_counts.failed);
    countServed(request, refused ? request_served::outcome::Refused : request_served::outcome::Failed, now);
    if (refused && !request.account.empty()) {
        refused_usage event { request.id, request.account, {}, {} };
        if (request.generationState)
            event.model = model_id(request.generationState->wanted().model);
        m_actions.push_back(serving_record { std::move(event) });
    }
    erase(request.number, now);
}

// --- Arrivals ----------------------------------------------------------------------

std::vector<serving_action> serving::arrive(caller_request request, instant now, wall_time wall)
{
    ++m_counts.requests;
    if (m_draining) {
        refuse(request.handle, statusUnavailable, "not_run", "draining", "this instance is stopping", defaultRetryAfter);
        return takeActions();
    }
    open_request openRequest;
    if (!admitCaller(request, openRequest, now))
        return takeActions();
    openRequest.arrived = now;
    openRequest.caller = request.handle;
    openRequest.method = request.method;

    // Step 1. Pass trainers' calls on to the coordinator of their run.
    if (request.path.rfind(trainerPrefix, 0) == 0) {
        m_actions.push_back(trainer_request { request.handle, openRequest.account, std::move(request.method), std::move(request.path), std::move(request.query), std::move(request.body) });
        return takeActions();
    }

    // Step 2. Apply the route's limits and settings.
    const route& matchedRoute = *m_config->findRoute(openRequest.route);
    if (request.body.size() > matchedRoute.maxBodyBytes) {
        refuse(request.handle, statusContentTooLarge, "not_run", "body_too_large", "the route takes at most " + std::to_string(matchedRoute.maxBodyBytes) + " bytes", {});
        return takeActions();
    }
    openRequest.routeName = matchedRoute.meta.name;
    openRequest.kind = matchedRoute.kind;
    openRequest.priority = matchedRoute.priority;
    openRequest.idempotent = matchedRoute.kind == pool_kind::Engine || isIdempotent(matchedRoute, request.method);
    openRequest.deadline = now + std::min<duration>(std::chrono::milliseconds(matchedRoute.deadlineMs), m_settings.maxRequestDuration);
    openRequest.fingerprint = fingerprintOf(openRequest.account, request.method, request.path + "?" + request.query, request.body);
    if (matchedRoute.kind == pool_kind::Engine) {
        if (!readGeneration(request, matchedRoute, openRequest))
            return takeActions();
    } else {
        if (!claimKey(request, openRequest, now))
            return takeActions();
        readService(request, openRequest);
    }

    // Step 3. Determine the targets that may run it.
    work item;
    item.account = m_config->findAccount(openRequest.account);
    item.requestRoute = &matchedRoute;
    if (openRequest.generationState)
        item.model = openRequest.generationState->wanted().model;
    classify(openRequest, item);
    admit(std::move(openRequest), now, wall);
    return dispatchAndTakeActions(now, wall);
}

// Checks route, key and account. Returns false if the request was refused.
bool serving::admitCaller(const caller_request& request, open_request& out, instant)
{
    // Step 1. A key outside the Authorization header would leak to a target or a log.
    if (containsKeyOutsideHeader(request)) {
        refuse(request.handle, statusBadRequest, "not_run", "key_outside_header", "a key may stand in the Authorization header alone", {});
        return false;
    }

    // Step 2. Find the route; trainers' paths have none.
    const bool isTrainerCall = request.path.rfind(trainerPrefix, 0) == 0;
    const route* matchedRoute = isTrainerCall ? nullptr : m_config->findRoute(request.method, request.path);
    if (matchedRoute == nullptr && !isTrainerCall) {
        refuse(request.handle, statusNotFound, "not_run", "no_route", "no route for this method and path", {});
        return false;
    }
    if (matchedRoute != nullptr) {
        out.route = route_id(matchedRoute->meta.name);
        if (matchedRoute->open)
            return true;
    }

    // Step 3. Authenticate the key and check its account.
    if (m_cutOff) {
        refuse(request.handle, statusUnavailable, "not_run", "cut_off", "this instance can't confirm keys for now", defaultRetryAfter);
        return false;
    }
    const auto authenticated = m_keys.authenticate(findHeader(request.headers, "authorization"));
    if (const auto* refusal = std::get_if<key_refusal>(&authenticated)) {
        refuse(request.handle, statusUnauthorized, "not_run", "key_refused", toString(*refusal), {});
        return false;
    }
    const auto& holder = std::get<key_holder>(authenticated);
    const auto* account = m_config->findAccount(holder.account);
    if (account == nullptr || (matchedRoute != nullptr && !matchedRoute->accounts.matches(account->meta.labels))) {
        refuse(request.handle, statusForbidden, "not_run", "account_not_allowed", "the key's account may not use this route", {});
        return false;
    }
    out.key = holder.key;
    out.account = holder.account;
    return true;
}

bool serving::readGeneration(caller_request& request, const route&, open_request& out)
{
    auto generation = parseGeneration(request.path, request.body);
    if (!generation) {
        refuse(request.handle, statusBadRequest, "not_run", "bad_request", generation.error().detail, {});
        return false;
    }
    out.target = request.path;
    out.blocks = hashPrompt(generation->prompt);
    out.generationState.emplace(std::move(*generation));
    return true;
}

void serving::readService(caller_request& request, open_request& out) const
{
    out.target = request.path;
    if (!request.query.empty())
        out.target += "?" + request.query;
    out.headers = allowedHeaders(request.headers);
    out.body = std::move(request.body);
}

// Sets the request's routing class, and defines it at the router on first use.
void serving::classify(open_request& request, const work& item)
{
    auto placed = placeWork(m_config, item);
    request.routingClass = placed.name;
    if (m_definedClasses.insert(placed.name).second)
        m_router.setClass(placed.name, std::move(placed.allows));
}

std::vector<serving_action> serving::arrive(const generation_job& job, instant now, wall_time wall)
{
    open_request openRequest;
    openRequest.arrived = now;
    openRequest.job = job.job;
    openRequest.account = job.account;
    openRequest.run = job.run;
    openRequest.routeName = "run/" + job.run.str();
    openRequest.method = "POST";
    openRequest.target = "/v1/completions";
    openRequest.kind = pool_kind::Engine;
    openRequest.idempotent = true;
    openRequest.priority = job.priority;
    openRequest.deadline = now + (job.deadline > duration::zero() ? job.deadline : m_settings.maxRequestDuration);

    work item;
    item.account = m_config->findAccount(job.account);
    item.rolloutRun = m_config->findRun(job.run);
    openRequest.fingerprint = fingerprintOf(job.account, openRequest.method, openRequest.routeName, job.prompt);
    if (item.rolloutRun != nullptr)
        item.model = item.rolloutRun->model.str();
    generation_request generation;
    generation.model = item.model;
    generation.prompt = job.prompt + job.generatedText;
    generation.maxTokens = job.maxTokens;
    generation.body["prompt"] = generation.prompt;
    if (!generation.model.empty())
        generation.body["model"] = generation.model;
    openRequest.blocks = hashPrompt(generation.prompt);
    openRequest.generationState.emplace(std::move(generation));
    classify(openRequest, item);
    admit(std::move(openRequest), now, wall);
    return dispatchAndTakeActions(now, wall);
}

std::vector<serving_action> serving::arrive(service_job job, instant now, wall_time wall)
{
    const route* matchedRoute = m_config->findRoute(job.route);
    if (matchedRoute == nullptr || matchedRoute->kind != pool_kind::Service) {
        job_event jobEvent;
        jobEvent.job = job.job;
        jobEvent.notRun = true;
        jobEvent.reason = "no such route to a plain service";
        m_actions.push_back(std::move(jobEvent));
        return takeActions();
    }
    open_request openRequest;
    openRequest.arrived = now;
    openRequest.job = job.job;
    openRequest.account = job.account;
    openRequest.route = job.route;
    openRequest.routeName = matchedRoute->meta.name;
    openRequest.method = std::move(job.method);
    openRequest.target = std::move(job.path);
    openRequest.kind = pool_kind::Service;
    openRequest.idempotent = isIdempotent(*matchedRoute, openRequest.method);
    openRequest.priority = matchedRoute->priority;
    openRequest.headers = { { "Content-Type", "application/json" }, { "Idempotency-Key", job.idempotencyKey } };
    openRequest.fingerprint = fingerprintOf(job.account, openRequest.method, openRequest.target, job.body);
    openRequest.body = std::move(job.body);
    openRequest.deadline = now + std::min<duration>(job.deadline, std::chrono::milliseconds(matchedRoute->deadlineMs));
    work item;
    item.account = m_config->findAccount(job.account);
    item.requestRoute = matchedRoute;
    classify(openRequest, item);
    admit(std::move(openRequest), now, wall);
    return dispatchAndTakeActions(now, wall);
}

// --- Cancellation and time -----------------------------------------------------------

std::vector<serving_action> serving::callerDisconnected(caller_handle handle, instant now, wall_time wall)
{
    const auto found = m_byCaller.find(handle);
    if (found == m_byCaller.end())
        return takeActions();
    auto& request = m_requests.at(found->second);
    ++m_counts.cancelled;
    logDecision(request, "cancelled", "the caller is gone", wall);
    if (request.attempt) {
        m_actions.push_back(cancel_attempt { request.attempt->id });
        request.mayHaveRun = true;
        endAttempt(request, attempt_outcome::Success, usage_heading::Cancelled, now);
    }
    erase(request.number, now);
    return dispatchAndTakeActions(now, wall);
}

std::vector<serving_action> serving::cancel(job_id job, instant now)
{
    const auto found = m_byJob.find(job);
    if (found == m_byJob.end())
        return takeActions();
    auto& request = m_requests.at(found->second);
    if (request.attempt) {
        m_actions.push_back(cancel_attempt { request.attempt->id });
        request.mayHaveRun = true;
        endAttempt(request, attempt_outcome::Success, usage_heading::Cancelled, now);
    }
    erase(request.number, now);
    return takeActions();
}

std::vector<serving_action> serving::tick(instant now, wall_time wall)
{
    m_router.tick(now);
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + cleanupInterval;
        detectCrashes(now, wall);
        m_quarantine.dropExpired(wall);
        m_limiter.dropIdle(now);
        m_idempotencyStore.expire(now);
        m_retries.dropIdle(now);
    }

    // Step 1. Refuse requests whose deadline has passed.
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        auto& request = m_requests.at(m_deadlines.begin()->second);
        if (request.attempt)
            m_actions.push_back(cancel_attempt { request.attempt->id });
        refuse(request, statusTimeout, "deadline", "the request's time is over", defaultRetryAfter, now, wall);
    }

    // Step 2. Dispatch waiting requests that are due.
    std::vector<request_number> due;
    for (const auto& [dueAt, number] : m_waiting) {
        if (dueAt > now)
            break;
        due.push_back(number);
    }
    for (const auto number : due) {
        const auto found = m_requests.find(number);
        if (found != m_requests.end() && !found->second.attempt)
            dispatch(found->second, now, wall);
    }
    return dispatchAndTakeActions(now, wall);
}

// --- Records -----------------------------------------------------------------------

void serving::countServed(const open_request& request, request_served::outcome ending, instant now)
{
    if (request.account.empty())
        return;
    request_served event;
    event.scope.account = request.account;
    if (request.attempt)
        event.scope.pool = m_router.table().record(request.attempt->choice.slot).listed.pool;
    event.ending = ending;
    if (request.firstToken != instant())
        event.firstToken = request.firstToken - request.arrived;
    event.whole = now - request.arrived;
    event.queued = (request.firstSent == instant() ? now : request.firstSent) - request.arrived;
    event.attempts = request.attempts;
    m_actions.push_back(serving_record { std::move(event) });
    if (m_settings.recordsTraffic && request.caller)
        trace(request, ending, now);
}

// Emits what a replay needs of the request: sizes and hashes, but no text.
void serving::trace(const open_request& request, request_served::outcome ending, instant now)
{
    const auto ms = [](duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time); };
    if (!m_traceStart)
        m_traceStart = request.arrived;
    trace_record out;
    out.arrival = ms(std::max(duration::zero(), request.arrived - *m_traceStart));
    out.account = request.account;
    out.route = request.route;
    out.deadline = ms(request.deadline - request.arrived);
    out.outcome = ending == request_served::outcome::Answered ? traced_outcome::Answered : ending == request_served::outcome::Refused ? traced_outcome::NotRun
                                                                                                                                      : traced_outcome::Failed;
    out.total = ms(now - request.arrived);
    if (request.firstToken != instant())
        out.firstToken = ms(request.firstToken - request.arrived);
    if (request.generationState) {
        out.kind = request.generationState->wanted().stream ? traced_kind::Stream : traced_kind::Completion;
        out.promptBytes = byte_count(request.generationState->wanted().prompt.size());
        out.maxTokens = request.generationState->wanted().maxTokens;
        out.tokens = token_count(request.generationState->tokens());
        for (const auto block : request.blocks) {
            if (out.blocks.size() < tracedBlocks)
                out.blocks.push_back(block.value());
        }
    } else {
        out.kind = traced_kind::Plain;
        out.promptBytes = byte_count(request.body.size());
    }
    m_actions.push_back(serving_record { std::move(out) });
}

void serving::logDecision(const open_request& request, std::string decision, std::string reason, wall_time wall, std::vector<journal_fact> facts)
{
    journal_entry entry;
    entry.at = wall;
    entry.duty = "serving";
    entry.subject = request.id.str();
    entry.decision = std::move(decision);
    entry.reason = std::move(reason);
    entry.facts = std::move(facts);
    m_actions.push_back(serving_record { std::move(entry) });
}

void serving::erase(request_number number, instant now)
{
    const auto found = m_requests.find(number);
    assert(found != m_requests.end());
    auto& request = found->second;
    if (request.attempt)
        m_byAttempt.erase(request.attempt->id);
    if (request.caller)
        m_byCaller.erase(*request.caller);
    if (request.job)
        m_byJob.erase(*request.job);
    closeKeyedRecord(request, now);
    releaseAdmission(request, now);
    m_waiting.erase({ request.retryAt, number });
    m_deadlines.erase({ request.deadline, number });
    m_requests.erase(found);
}

} // namespace lovagerail
