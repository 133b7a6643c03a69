// Simulated targets and callers around one `serving` state machine.
#include "serving_world.h"

#include "config_samples.h"

#include <json/json.h>
#include <stdexcept>

namespace lovagerail::test {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t accountCount = 3;
    constexpr std::size_t promptBytes = 16; // "prompt " and a number of nine digits
    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    const wall_time wallStart { 24h };

    std::string accountName(std::uint32_t number)
    {
        return "account-" + std::to_string(number);
    }

    std::string promptOf(std::uint64_t number)
    {
        auto digits = std::to_string(number);
        return "prompt " + std::string(9 - digits.size(), '0') + digits;
    }

    // Token `index` of the completion of a prompt; differs between prompts and between indices.
    std::string tokenOf(const std::string& prompt, std::uint32_t index)
    {
        return prompt.substr(promptBytes - 3) + std::string(1, static_cast<char>('a' + index));
    }

    std::string wholeText(const std::string& prompt)
    {
        std::string out;
        for (std::uint32_t i = 0; i < tokenCount; ++i)
            out += tokenOf(prompt, i);
        return out;
    }

    config_ptr worldConfig(const std::vector<new_key>& keys)
    {
        std::vector<config_object> objects;
        for (std::uint32_t i = 0; i < accountCount; ++i)
            objects.emplace_back(sampleAccount(accountName(i), 1 + i));
        for (const auto& key : keys)
            objects.emplace_back(key.object);
        auto models = samplePool("models");
        models.model = model_id("model");
        auto trade = samplePool("trade");
        trade.kind = pool_kind::Service;
        trade.model = {};
        trade.meta.labels = { { "size", "trade" } };
        auto completions = sampleRoute("completions", "/v1/completions");
        completions.idempotent = true;
        auto stock = sampleRoute("stock", "/stock");
        stock.kind = pool_kind::Service;
        stock.targets = selector::parseLenient("size=trade");
        stock.idempotentMethods = { "GET" };
        for (auto& object : std::vector<config_object> { models, trade, completions, stock })
            objects.push_back(std::move(object));
        return configOf(1, std::move(objects));
    }

    std::string pieceLine(const std::string& attempt, const std::string& text, bool last)
    {
        Json::Value chunk;
        chunk["id"] = "cmpl-" + attempt;
        chunk["weight_version"] = 1;
        chunk["token_count"] = 1;
        chunk["choices"][0]["text"] = text;
        chunk["choices"][0]["finish_reason"] = last ? Json::Value("length") : Json::Value();
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return "data: " + Json::writeString(writer, chunk) + "\n\n";
    }

    Json::Value parsed(const std::string& text)
    {
        Json::Value out;
        const Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        reader->parse(text.data(), text.data() + text.size(), &out, nullptr);
        return out;
    }

    wall_time wallOf(instant now)
    {
        return wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    }

} // namespace

serving_world::serving_world(serving_settings settings)
    : m_subject([&settings] {
        settings.instance = instance_id("one");
        settings.incarnationNumber = incarnation(7);
        settings.failureDomain = failure_domain_id("caerdydd");
        return settings;
    }())
{
    std::vector<new_key> keys;
    for (std::uint32_t i = 0; i < accountCount; ++i) {
        keys.push_back(sampleKey(static_cast<unsigned char>(i + 1)));
        keys.back().object.account = client_account_id(accountName(i));
        m_keys.push_back(keys.back().raw);
    }
    m_subject.setConfig(worldConfig(keys));
    for (std::size_t i = 0; i < engineCount; ++i)
        m_incarnations["e" + std::to_string(i)] = 1;
    for (std::size_t i = 0; i < serviceCount; ++i)
        m_incarnations["s" + std::to_string(i)] = 1;
    listTargets();
}

void serving_world::listTargets()
{
    std::vector<listed_target> rows;
    for (const auto& [name, incarnationNumber] : m_incarnations) {
        listed_target row;
        row.id = target_id(name);
        row.address = "http://" + name;
        row.pool = pool_id(name[0] == 'e' ? "models" : "trade");
        row.kind = name[0] == 'e' ? target_kind::Engine : target_kind::Service;
        row.failureDomain = failure_domain_id("caerdydd");
        row.incarnation = incarnation(incarnationNumber);
        row.state = m_leaving.contains(name) ? target_state::Leaving : target_state::Live;
        rows.push_back(std::move(row));
    }
    m_subject.targets().applyList(rows, m_now);
}

void serving_world::recordViolation(const std::string& what) const
{
    if (m_violation.empty())
        m_violation = what;
}

// --- Callers -------------------------------------------------------------------

std::uint64_t serving_world::arrive(request_state state, caller_request request)
{
    const auto number = ++m_lastRequest;
    request.handle = caller_handle(number);
    request.headers.emplace_back("authorization", "Bearer " + m_keys[state.account]);
    request.headers.emplace_back("proxy-authorization", "basic x");
    m_requests[number] = std::move(state);
    process(m_subject.arrive(std::move(request), m_now, wallOf(m_now)));
    return number;
}

std::uint64_t serving_world::askEngine(std::uint32_t account, bool stream)
{
    request_state state;
    state.engine = true;
    state.stream = stream;
    state.idempotent = true;
    state.account = account;
    state.marker = promptOf(m_lastRequest + 1);
    caller_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = R"({"model":"model","max_tokens":)" + std::to_string(tokenCount) + R"(,"stream":)" + (stream ? "true" : "false")
        + R"(,"prompt":")" + state.marker + "\"}";
    return arrive(std::move(state), std::move(request));
}

std::uint64_t serving_world::askPoison(std::uint32_t account, std::uint32_t which)
{
    request_state state;
    state.engine = true;
    state.idempotent = true;
    state.account = account;
    state.marker = "poison " + std::string(8, '0') + std::to_string(which);
    caller_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = R"({"model":"model","max_tokens":6,"prompt":")" + state.marker + "\"}";
    return arrive(std::move(state), std::move(request));
}

std::uint64_t serving_world::askService(std::uint32_t account, bool idempotent)
{
    request_state state;
    state.idempotent = idempotent;
    state.account = account;
    state.marker = promptOf(m_lastRequest + 1);
    caller_request request;
    request.method = idempotent ? "GET" : "POST";
    request.path = "/stock/orders";
    request.query = "n=" + std::to_string(m_lastRequest + 1);
    request.body = idempotent ? "" : state.marker;
    return arrive(std::move(state), std::move(request));
}

std::uint64_t serving_world::askKeyed(std::uint32_t account, std::uint32_t key)
{
    request_state state;
    state.account = account;
    state.marker = "keyed " + std::to_string(account) + "-" + std::to_string(key);
    caller_request request;
    request.method = "POST";
    request.path = "/stock/orders";
    request.headers.emplace_back("idempotency-key", "key-" + std::to_string(key));
    request.body = state.marker;
    return arrive(std::move(state), std::move(request));
}

void serving_world::process(const std::vector<serving_action>& actions)
{
    for (const auto& action : actions) {
        if (const auto* sent = std::get_if<send_attempt>(&action)) {
            process(*sent);
        } else if (const auto* cancelled = std::get_if<cancel_attempt>(&action)) {
            m_attempts.erase(cancelled->attempt);
        } else if (const auto* complete = std::get_if<complete_answer>(&action)) {
            process(*complete);
        } else if (const auto* begin = std::get_if<begin_answer>(&action)) {
            m_requests.at(begin->handle.value()).answerBegun = true;
        } else if (const auto* append = std::get_if<append_answer>(&action)) {
            auto& request = m_requests.at(append->handle.value());
            if (!request.answerBegun || request.endCount > 0)
                recordViolation("received bytes outside a response");
            request.received += append->bytes;
        } else if (const auto* ended = std::get_if<end_answer>(&action)) {
            auto& request = m_requests.at(ended->handle.value());
            ++request.endCount;
            request.complete = true;
        } else if (const auto* aborted = std::get_if<abort_answer>(&action)) {
            ++m_requests.at(aborted->handle.value()).endCount;
        }
    }
}

void serving_world::process(const complete_answer& answer)
{
    auto& request = m_requests.at(answer.handle.value());
    ++request.endCount;
    request.status = answer.status;
    request.received = answer.body;
    const auto body = parsed(answer.body);
    request.complete = answer.status == statusOk;
    if (!request.complete && body.isObject()) {
        request.outcome = body["error"]["outcome"].asString();
        request.reason = body["error"]["reason"].asString();
    }
}

// --- Targets ---------------------------------------------------------------------

void serving_world::process(const send_attempt& sent)
{
    ++m_attemptsSent;
    attempt_at_target attempt;
    const std::string scheme = "http://";
    attempt.target = sent.url.substr(scheme.size(), 2);
    attempt.engine = attempt.target[0] == 'e';
    if (m_leaving.contains(attempt.target))
        recordViolation("an attempt was sent to a leaving target");

    // Step 1. Check that no key reaches a target.
    std::string bytes = sent.method + sent.url + sent.body;
    for (const auto& [name, value] : sent.headers) {
        bytes.append(name).append(": ").append(value).append("\n");
        if (name == "X-Request-Id")
            attempt.name = value;
        if (name.size() >= 13 && (name[0] == 'p' || name[0] == 'P') && name.find("uthorization") != std::string::npos)
            recordViolation("an authorization header was passed on to a target");
    }
    for (const auto& key : m_keys) {
        if (bytes.find(key) != std::string::npos)
            recordViolation("a key was sent to a target");
    }

    // Step 2. Find the request that it belongs to, and the token from which it resumes.
    if (attempt.engine) {
        const auto prompt = parsed(sent.body)["prompt"].asString();
        const auto marker = prompt.substr(0, promptBytes);
        for (const auto& [number, request] : m_requests) {
            if (request.marker == marker && request.endCount == 0)
                attempt.request = number;
        }
        attempt.next = static_cast<std::uint32_t>((prompt.size() - promptBytes) / tokenBytes);
        if (prompt != marker + wholeText(marker).substr(0, attempt.next * tokenBytes))
            recordViolation("an attempt resumes from a text that was not generated");
        if (marker.rfind("poison", 0) == 0)
            attempt.poison = static_cast<std::uint32_t>(marker.back() - '0') + 1;
    } else if (sent.body.rfind("keyed", 0) == 0) {
        for (const auto& [number, request] : m_requests) {
            if (request.marker == sent.body && request.endCount == 0 && !request.disconnected)
                attempt.request = number;
        }
    } else {
        const auto at = sent.url.find("n=");
        attempt.request = std::stoull(sent.url.substr(at + 2));
    }
    if (m_denied.contains(m_requests.at(attempt.request).account))
        recordViolation("a request with a revoked key was sent");
    m_attempts[sent.attempt] = attempt;
}

attempt_id serving_world::pick(std::size_t which) const
{
    auto at = m_attempts.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(which % m_attempts.size()));
    return at->first;
}

void serving_world::end(attempt_id id, transfer_end how)
{
    m_attempts.erase(id);
    process(m_subject.done(id, how, m_now, wallOf(m_now)));
}

void serving_world::sendHead(attempt_id id, int status, bool crossed, bool notRun)
{
    auto& attempt = m_attempts.at(id);
    attempt.headSent = true;
    header_list headers { { "content-type", "text/plain" }, { "x-request-id", crossed ? "somebody-else" : attempt.name } };
    if (notRun)
        headers.emplace_back("x-not-run", "true");
    else
        recordRun(attempt);
    process(m_subject.head(id, status, headers, m_now));
}

void serving_world::sendToken(attempt_id id)
{
    auto& attempt = m_attempts.at(id);
    const bool last = attempt.next + 1 >= tokenCount;
    const auto line = pieceLine(attempt.name, tokenOf(m_requests.at(attempt.request).marker, attempt.next), last);
    ++attempt.next;
    process(m_subject.body(id, line, m_now));
}

void serving_world::completeAttempt(attempt_id id)
{
    if (!m_attempts.at(id).headSent)
        sendHead(id, statusOk);
    if (m_attempts.at(id).engine) {
        while (m_attempts.at(id).next < tokenCount)
            sendToken(id);
        process(m_subject.body(id, "data: [DONE]\n\n", m_now));
    } else {
        process(m_subject.body(id, "answer " + m_requests.at(m_attempts.at(id).request).marker, m_now));
    }
    end(id, transfer_end::Complete);
}

void serving_world::recordRun(const attempt_at_target& attempt)
{
    auto& request = m_requests.at(attempt.request);
    ++request.runCount;
    if (request.marker.rfind("keyed", 0) == 0 && ++m_keyedRuns[request.marker] > 1)
        recordViolation(request.marker + " ran twice");
}

bool serving_world::runOneAttempt(std::size_t which)
{
    if (m_attempts.empty())
        return false;
    const auto id = pick(which);
    const auto attempt = m_attempts.at(id);
    if (attempt.poison == 0) {
        completeAttempt(id);
        return true;
    }
    m_targetsCrashedBy[attempt.poison].insert(attempt.target + "@" + std::to_string(m_incarnations[attempt.target]));
    crash(attempt.target);
    return true;
}

// Crashes a target: all attempts at it break off. It restarts with a new incarnation, which
// the list shows later.
void serving_world::crash(const std::string& target)
{
    std::vector<attempt_id> attemptsAtTarget;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.target == target)
            attemptsAtTarget.push_back(id);
    }
    ++m_incarnations[target];
    for (const auto id : attemptsAtTarget) {
        const auto& attempt = m_attempts.at(id);
        if (!attempt.headSent)
            recordRun(attempt); // it may have run
        end(id, attempt.headSent ? transfer_end::Truncated : transfer_end::NoAnswer);
    }
}

void serving_world::simulateTargetFault(attempt_id id, std::uint32_t how)
{
    const auto attempt = m_attempts.at(id);
    switch (how % 6) {
    case 0: // no byte of the request was sent
        if (!attempt.headSent)
            end(id, transfer_end::NotSent);
        return;
    case 1: // refused with the documented "not run" response
        if (!attempt.headSent) {
            sendHead(id, statusUnavailable, false, true);
            end(id, transfer_end::Complete);
        }
        return;
    case 2: // the response to another request
        if (!attempt.headSent) {
            sendHead(id, statusOk, true);
            process(m_subject.body(id, attempt.engine ? pieceLine("somebody-else", "XXXX", true) : "XXXX", m_now));
            end(id, transfer_end::Complete);
        }
        return;
    case 3: // the response is lost or truncated
        if (!attempt.headSent)
            recordRun(attempt);
        end(id, attempt.headSent ? transfer_end::Truncated : transfer_end::NoAnswer);
        return;
    case 4: // an incomplete response that ends cleanly
        if (attempt.engine && attempt.next < tokenCount) {
            if (!attempt.headSent)
                sendHead(id, statusOk);
            sendToken(id);
            end(id, transfer_end::Complete);
        }
        return;
    default: // more response data after the end
        if (attempt.engine)
            return;
        completeAttempt(id);
        process(m_subject.head(id, statusOk, {}, m_now));
        process(m_subject.body(id, "late", m_now));
        process(m_subject.done(id, transfer_end::Complete, m_now, wallOf(m_now)));
        return;
    }
}

// Whether a request with this prompt is open; callers repeat a poison request only after
// the previous one has ended.
bool serving_world::isOpen(const std::string& marker) const
{
    for (const auto& [number, request] : m_requests) {
        if (request.marker == marker && request.endCount == 0 && !request.disconnected)
            return true;
    }
    return false;
}

// --- Histories -----------------------------------------------------------------------

void serving_world::passTime(duration by)
{
    m_now += by;
    process(m_subject.tick(m_now, wallOf(m_now)));
}

void serving_world::step(std::uint32_t choice)
{
    const auto more = choice >> 4;
    const auto account = more % accountCount;
    switch (choice % 16) {
    case 0:
    case 1:
        askEngine(account, more % 2 == 0);
        return;
    case 2:
        if (more % 3 == 0)
            askKeyed(more / 3 % accountCount, more / 9 % 8);
        else
            askService(account, more % 2 == 0);
        return;
    case 3:
        if (more % 4 == 0 && !isOpen("poison " + std::string(8, '0') + std::to_string(account)))
            askPoison(account, account);
        return;
    case 4:
        if (more % 8 == 0 && m_leaving.size() < 2) {
            m_leaving.insert(more % 16 == 0 ? "e3" : "s2");
            listTargets();
        }
        return;
    case 5:
        if (more % 32 == 0) {
            m_denied.insert(account);
            const auto id = parseKey(m_keys[account])->id;
            process(m_subject.deny({ { id, revision(1) } }, m_now));
        }
        return;
    case 6:
        if (!m_requests.empty()) {
            const auto number = 1 + more % m_lastRequest;
            auto& request = m_requests.at(number);
            if (request.endCount == 0 && !request.disconnected) {
                request.disconnected = true;
                process(m_subject.callerDisconnected(caller_handle(number), m_now, wallOf(m_now)));
            }
        }
        return;
    case 7:
        if (more % 4 == 0)
            crash("e" + std::to_string(more / 4 % engineCount));
        return;
    case 8:
        passTime(std::chrono::milliseconds(10 + more % 300));
        listTargets();
        return;
    case 9:
    case 10:
        if (!m_attempts.empty())
            simulateTargetFault(pick(more), more >> 8);
        return;
    case 11:
        if (!m_attempts.empty()) {
            const auto id = pick(more);
            const auto& attempt = m_attempts.at(id);
            if (attempt.engine && attempt.poison == 0 && attempt.next + 1 < tokenCount) {
                if (!attempt.headSent)
                    sendHead(id, statusOk);
                sendToken(id);
            }
        }
        return;
    default:
        runOneAttempt(more);
        return;
    }
}

void serving_world::finish()
{
    constexpr int longest = 10000;
    for (int i = 0; i < longest && !m_subject.idle(); ++i) {
        passTime(50ms);
        listTargets();
        while (runOneAttempt(0))
            continue;
    }
    if (!m_subject.idle())
        recordViolation("a request was never answered");
}

std::size_t serving_world::answeredCount() const
{
    std::size_t count = 0;
    for (const auto& [number, request] : m_requests)
        count += request.complete ? 1 : 0;
    return count;
}

// Checks the invariants for each request; throws if one was violated, with the first violation.
void serving_world::check() const
{
    for (const auto& [number, request] : m_requests) {
        const auto name = "request " + std::to_string(number) + ": ";
        if (request.endCount > 1 || (m_subject.idle() && !request.disconnected && request.endCount != 1))
            recordViolation(name + "answered " + std::to_string(request.endCount) + " times");
        if (!request.idempotent && request.runCount > 1)
            recordViolation(name + "ran " + std::to_string(request.runCount) + " times");
        if (request.outcome == "not_run" && request.runCount > 0)
            recordViolation(name + "reported as not run, but it ran: " + request.reason);
        if (!request.complete)
            continue;
        if (!request.engine && request.received != "answer " + request.marker)
            recordViolation(name + "got the response to another request: " + request.received);
        if (!request.engine)
            continue;

        // The text of a streamed response is the concatenated text of its events.
        std::string text;
        bool done = !request.stream;
        if (request.stream) {
            for (std::size_t at = request.received.find("data: "); at != std::string::npos; at = request.received.find("data: ", at + 1)) {
                const auto line = request.received.substr(at + 6, request.received.find('\n', at) - at - 6);
                done = done || line == "[DONE]";
                const auto event = parsed(line);
                if (event.isObject() && event["choices"].isArray() && !event["choices"].empty())
                    text += event["choices"][0]["text"].asString();
            }
        } else {
            text = parsed(request.received)["choices"][0]["text"].asString();
        }
        if (text != wholeText(request.marker) || !done)
            recordViolation(std::string(name).append("text is incomplete or wrong: ").append(text));
    }
    for (const auto& [which, targets] : m_targetsCrashedBy) {
        if (targets.size() > 2)
            recordViolation("a poison request crashed " + std::to_string(targets.size()) + " targets");
    }
    if (!m_violation.empty())
        throw std::runtime_error(m_violation);
}

} // namespace lovagerail::test
