// Fake targets and callers around one serving machine.
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

    // Token `index` of the answer to a prompt; no two prompts or indices have the same.
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
        stock.targets = selector::keep("size=trade");
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
        settings.life = incarnation(7);
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
        m_lives["e" + std::to_string(i)] = 1;
    for (std::size_t i = 0; i < serviceCount; ++i)
        m_lives["s" + std::to_string(i)] = 1;
    listTargets();
}

void serving_world::listTargets()
{
    std::vector<listed_target> rows;
    for (const auto& [name, life] : m_lives) {
        listed_target row;
        row.id = target_id(name);
        row.address = "http://" + name;
        row.pool = pool_id(name[0] == 'e' ? "models" : "trade");
        row.kind = name[0] == 'e' ? target_kind::Engine : target_kind::Service;
        row.failureDomain = failure_domain_id("caerdydd");
        row.incarnation = incarnation(life);
        row.state = m_leaving.contains(name) ? target_state::Leaving : target_state::Live;
        rows.push_back(std::move(row));
    }
    m_subject.targets().applyList(rows, m_now);
}

void serving_world::fail(const std::string& what) const
{
    if (m_fault.empty())
        m_fault = what;
}

// --- Callers -------------------------------------------------------------------

std::uint64_t serving_world::arrive(request_state state, caller_request request)
{
    const auto number = ++m_last;
    request.handle = caller_handle(number);
    request.headers.emplace_back("authorization", "Bearer " + m_keys[state.account]);
    request.headers.emplace_back("proxy-authorization", "basic x");
    m_requests[number] = std::move(state);
    take(m_subject.arrive(std::move(request), m_now, wallOf(m_now)));
    return number;
}

std::uint64_t serving_world::askEngine(std::uint32_t account, bool stream)
{
    request_state state;
    state.engine = true;
    state.stream = stream;
    state.idempotent = true;
    state.account = account;
    state.marker = promptOf(m_last + 1);
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
    state.marker = promptOf(m_last + 1);
    caller_request request;
    request.method = idempotent ? "GET" : "POST";
    request.path = "/stock/orders";
    request.query = "n=" + std::to_string(m_last + 1);
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

void serving_world::take(const std::vector<serving_action>& actions)
{
    for (const auto& action : actions) {
        if (const auto* sent = std::get_if<send_attempt>(&action)) {
            take(*sent);
        } else if (const auto* cancelled = std::get_if<cancel_attempt>(&action)) {
            m_attempts.erase(cancelled->attempt);
        } else if (const auto* whole = std::get_if<whole_answer>(&action)) {
            take(*whole);
        } else if (const auto* begin = std::get_if<begin_answer>(&action)) {
            m_requests.at(begin->handle.value()).begun = true;
        } else if (const auto* append = std::get_if<append_answer>(&action)) {
            auto& request = m_requests.at(append->handle.value());
            if (!request.begun || request.ends > 0)
                fail("bytes outside an answer");
            request.received += append->bytes;
        } else if (const auto* ended = std::get_if<end_answer>(&action)) {
            auto& request = m_requests.at(ended->handle.value());
            ++request.ends;
            request.whole = true;
        } else if (const auto* aborted = std::get_if<abort_answer>(&action)) {
            ++m_requests.at(aborted->handle.value()).ends;
        }
    }
}

void serving_world::take(const whole_answer& answer)
{
    auto& request = m_requests.at(answer.handle.value());
    ++request.ends;
    request.status = answer.status;
    request.received = answer.body;
    const auto body = parsed(answer.body);
    request.whole = answer.status == statusOk;
    if (!request.whole && body.isObject()) {
        request.outcome = body["error"]["outcome"].asString();
        request.reason = body["error"]["reason"].asString();
    }
}

// --- Targets ---------------------------------------------------------------------

void serving_world::take(const send_attempt& sent)
{
    ++m_sent;
    attempt_at_target attempt;
    const std::string scheme = "http://";
    attempt.target = sent.url.substr(scheme.size(), 2);
    attempt.engine = attempt.target[0] == 'e';
    if (m_leaving.contains(attempt.target))
        fail("a leaving target was sent to");

    // Step 1. No key reaches a target.
    std::string bytes = sent.method + sent.url + sent.body;
    for (const auto& [name, value] : sent.headers) {
        bytes.append(name).append(": ").append(value).append("\n");
        if (name == "X-Request-Id")
            attempt.name = value;
        if (name.size() >= 13 && (name[0] == 'p' || name[0] == 'P') && name.find("uthorization") != std::string::npos)
            fail("a credential's header was passed on");
    }
    for (const auto& key : m_keys) {
        if (bytes.find(key) != std::string::npos)
            fail("a key was sent to a target");
    }

    // Step 2. Whose it is, and where it goes on.
    if (attempt.engine) {
        const auto prompt = parsed(sent.body)["prompt"].asString();
        const auto marker = prompt.substr(0, promptBytes);
        for (const auto& [number, request] : m_requests) {
            if (request.marker == marker && request.ends == 0)
                attempt.request = number;
        }
        attempt.next = static_cast<std::uint32_t>((prompt.size() - promptBytes) / tokenBytes);
        if (prompt != marker + wholeText(marker).substr(0, attempt.next * tokenBytes))
            fail("an attempt goes on from another text");
        if (marker.rfind("poison", 0) == 0)
            attempt.poison = static_cast<std::uint32_t>(marker.back() - '0') + 1;
    } else if (sent.body.rfind("keyed", 0) == 0) {
        for (const auto& [number, request] : m_requests) {
            if (request.marker == sent.body && request.ends == 0 && !request.gone)
                attempt.request = number;
        }
    } else {
        const auto at = sent.url.find("n=");
        attempt.request = std::stoull(sent.url.substr(at + 2));
    }
    if (m_denied.contains(m_requests.at(attempt.request).account))
        fail("a request of a withdrawn key was sent");
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
    take(m_subject.done(id, how, m_now, wallOf(m_now)));
}

void serving_world::sendHead(attempt_id id, int status, bool crossed, bool notRun)
{
    auto& attempt = m_attempts.at(id);
    attempt.headSent = true;
    header_list headers { { "content-type", "text/plain" }, { "x-request-id", crossed ? "somebody-else" : attempt.name } };
    if (notRun)
        headers.emplace_back("x-not-run", "true");
    else
        noteRun(attempt);
    take(m_subject.head(id, status, headers, m_now));
}

void serving_world::sendToken(attempt_id id)
{
    auto& attempt = m_attempts.at(id);
    const bool last = attempt.next + 1 >= tokenCount;
    const auto line = pieceLine(attempt.name, tokenOf(m_requests.at(attempt.request).marker, attempt.next), last);
    ++attempt.next;
    take(m_subject.body(id, line, m_now));
}

void serving_world::workWhole(attempt_id id)
{
    if (!m_attempts.at(id).headSent)
        sendHead(id, statusOk);
    if (m_attempts.at(id).engine) {
        while (m_attempts.at(id).next < tokenCount)
            sendToken(id);
        take(m_subject.body(id, "data: [DONE]\n\n", m_now));
    } else {
        take(m_subject.body(id, "answer " + m_requests.at(m_attempts.at(id).request).marker, m_now));
    }
    end(id, transfer_end::Whole);
}

void serving_world::noteRun(const attempt_at_target& attempt)
{
    auto& request = m_requests.at(attempt.request);
    ++request.runs;
    if (request.marker.rfind("keyed", 0) == 0 && ++m_keyedRuns[request.marker] > 1)
        fail(request.marker + " ran twice");
}

bool serving_world::workOne(std::size_t which)
{
    if (m_attempts.empty())
        return false;
    const auto id = pick(which);
    const auto attempt = m_attempts.at(id);
    if (attempt.poison == 0) {
        workWhole(id);
        return true;
    }
    m_killedBy[attempt.poison].insert(attempt.target + "@" + std::to_string(m_lives[attempt.target]));
    crash(attempt.target);
    return true;
}

// All that ran there breaks off; the target starts again, and the list says so later.
void serving_world::crash(const std::string& target)
{
    std::vector<attempt_id> there;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.target == target)
            there.push_back(id);
    }
    ++m_lives[target];
    for (const auto id : there) {
        const auto& attempt = m_attempts.at(id);
        if (!attempt.headSent)
            noteRun(attempt); // it may have
        end(id, attempt.headSent ? transfer_end::Truncated : transfer_end::NoAnswer);
    }
}

void serving_world::misbehave(attempt_id id, std::uint32_t how)
{
    const auto attempt = m_attempts.at(id);
    switch (how % 6) {
    case 0: // no byte left
        if (!attempt.headSent)
            end(id, transfer_end::NotSent);
        return;
    case 1: // refused in the documented way
        if (!attempt.headSent) {
            sendHead(id, statusUnavailable, false, true);
            end(id, transfer_end::Whole);
        }
        return;
    case 2: // somebody else's answer
        if (!attempt.headSent) {
            sendHead(id, statusOk, true);
            take(m_subject.body(id, attempt.engine ? pieceLine("somebody-else", "XXXX", true) : "XXXX", m_now));
            end(id, transfer_end::Whole);
        }
        return;
    case 3: // lost after it ran, or before
        if (!attempt.headSent)
            noteRun(attempt);
        end(id, attempt.headSent ? transfer_end::Truncated : transfer_end::NoAnswer);
        return;
    case 4: // a part, then a clean end
        if (attempt.engine && attempt.next < tokenCount) {
            if (!attempt.headSent)
                sendHead(id, statusOk);
            sendToken(id);
            end(id, transfer_end::Whole);
        }
        return;
    default: // a late answer after the end
        if (attempt.engine)
            return;
        workWhole(id);
        take(m_subject.head(id, statusOk, {}, m_now));
        take(m_subject.body(id, "late", m_now));
        take(m_subject.done(id, transfer_end::Whole, m_now, wallOf(m_now)));
        return;
    }
}

// Whether a request with this prompt is under way; its caller sends it again and
// again, one after the other.
bool serving_world::isOpen(const std::string& marker) const
{
    for (const auto& [number, request] : m_requests) {
        if (request.marker == marker && request.ends == 0 && !request.gone)
            return true;
    }
    return false;
}

// --- Histories -----------------------------------------------------------------------

void serving_world::passTime(duration by)
{
    m_now += by;
    take(m_subject.tick(m_now, wallOf(m_now)));
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
            take(m_subject.deny({ { id, revision(1) } }, m_now));
        }
        return;
    case 6:
        if (!m_requests.empty()) {
            const auto number = 1 + more % m_last;
            auto& request = m_requests.at(number);
            if (request.ends == 0 && !request.gone) {
                request.gone = true;
                take(m_subject.callerGone(caller_handle(number), m_now, wallOf(m_now)));
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
            misbehave(pick(more), more >> 8);
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
        workOne(more);
        return;
    }
}

void serving_world::finish()
{
    constexpr int longest = 10000;
    for (int i = 0; i < longest && !m_subject.idle(); ++i) {
        passTime(50ms);
        listTargets();
        while (workOne(0))
            continue;
    }
    if (!m_subject.idle())
        fail("a request is never answered");
}

std::size_t serving_world::answeredCount() const
{
    std::size_t count = 0;
    for (const auto& [number, request] : m_requests)
        count += request.whole ? 1 : 0;
    return count;
}

// The promises, request by request; throws at the first that is broken.
void serving_world::check() const
{
    for (const auto& [number, request] : m_requests) {
        const auto name = "request " + std::to_string(number) + ": ";
        if (request.ends > 1 || (m_subject.idle() && !request.gone && request.ends != 1))
            fail(name + "answered " + std::to_string(request.ends) + " times");
        if (!request.idempotent && request.runs > 1)
            fail(name + "ran " + std::to_string(request.runs) + " times");
        if (request.outcome == "not_run" && request.runs > 0)
            fail(name + "told not run, but it ran: " + request.reason);
        if (!request.whole)
            continue;
        if (!request.engine && request.received != "answer " + request.marker)
            fail(name + "not its own answer: " + request.received);
        if (!request.engine)
            continue;

        // The text of a stream is the text of its events, in order.
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
            fail(std::string(name).append("not its whole text: ").append(text));
    }
    for (const auto& [which, targets] : m_killedBy) {
        if (targets.size() > 2)
            fail("a poison request cost " + std::to_string(targets.size()) + " targets");
    }
    if (!m_fault.empty())
        throw std::runtime_error(m_fault);
}

} // namespace lovagerail::test
