// Connects usage counting and the usage closer to the other instances, the key-value service and
// the platform.
#include "daemon/usage_duty.h"

#include "daemon/status_api.h"
#include "http_status.h"
#include "log.h"
#include "object_codec.h"

namespace lovagerail::daemon {

namespace {

    constexpr duration closerInterval = std::chrono::milliseconds(200);
    constexpr std::chrono::milliseconds reportTimeout { 5000 };
    constexpr std::size_t copyCount = 2;

    usage_settings settingsOf(const settings& values)
    {
        usage_settings out;
        out.windowLength = values.timing.usageWindow;
        out.flushInterval = std::min(out.flushInterval, values.timing.heartbeat);
        out.copies = copyCount;
        return out;
    }

    closer_settings closerSettings(const settings& values)
    {
        closer_settings out;
        out.usage = settingsOf(values);
        out.pullDelay = std::min(out.pullDelay, values.timing.usageGrace / 3);
        out.grace = values.timing.usageGrace;
        out.retryAfter = std::min(out.retryAfter, values.timing.usageGrace / 3);
        return out;
    }

    Json::Value rowOf(window_number window, const client_account_id& account, const usage_key& key, const usage_figures& figures)
    {
        Json::Value row(Json::objectValue);
        row["window"] = Json::UInt64(window.value());
        row["account"] = account.str();
        row["model"] = key.model.str();
        row["version"] = Json::UInt64(key.version.value());
        row["pool"] = key.pool.str();
        row["heading"] = std::string(toString(key.heading));
        row["requests"] = Json::UInt64(figures.requests);
        row["refused"] = Json::UInt64(figures.refused);
        row["prefilled"] = Json::UInt64(figures.prefilled.count());
        row["cached"] = Json::UInt64(figures.cached.count());
        row["generated"] = Json::UInt64(figures.generated.count());
        row["target_ms"] = Json::Int64(figures.targetTime.count());
        return row;
    }

} // namespace

usage_duty::usage_duty(control_context& context, lease_duty& leases, peer_duty& peers, status_api& status)
    : m_context(context)
    , m_leases(leases)
    , m_peers(peers)
    , m_status(status)
    , m_settings(settingsOf(context.values))
    , m_counter({ context.self, context.incarnationNumber }, m_settings)
    , m_copies(m_settings)
{
    m_peers.server().add("pushUsage", [this](const Json::Value& parameters) -> result<Json::Value> {
        const auto push = copyPushFromJson(parameters);
        if (!push)
            return tl::unexpected(push.error());
        return Json::Value(Json::UInt64(m_copies.add(*push, m_context.wall).value()));
    });
    m_peers.server().add("pullUsage", [this](const Json::Value& parameters) -> result<Json::Value> {
        const auto pull = pullUsageFromJson(parameters);
        if (!pull)
            return tl::unexpected(pull.error());
        m_counter.closeSegment(m_context.wall);
        return toJson(answerPull(*pull, m_counter, m_copies, m_context.wall));
    });
    m_leases.onGained([this](const duty_id& gained, fencing_number fencing) {
        if (gained != duty())
            return;
        ++m_term;
        m_closer.emplace(fencing, closerSettings(m_context.values));
    });
    m_leases.onLost([this](const duty_id& lost, fencing_number) {
        if (lost != duty())
            return;
        ++m_term;
        m_closer.reset();
    });
}

const duty_id& usage_duty::duty()
{
    static const duty_id name("usage-closer");
    return name;
}

void usage_duty::addTo(operator_duty& api)
{
    api.add("GET", "/v1/usage", operator_scope::Read, [this](const operator_call& call) { answerUsage(call); });
}

// --- Counting and copies ---------------------------------------------------------

void usage_duty::tick()
{
    if (m_context.now >= m_nextFlush) {
        m_nextFlush = m_context.now + m_settings.flushInterval;
        flush();
        m_copies.expire(m_context.wall);
    }
    if (m_closer && m_context.now >= m_nextClose) {
        m_nextClose = m_context.now + closerInterval;
        runCloser();
    }
}

void usage_duty::flush()
{
    m_counter.closeSegment(m_context.wall);
    pushCopies();
    saveCounters();
}

bool usage_duty::flushed() const
{
    const auto next = m_counter.log().next();
    if (m_counter.log().start() == next)
        return true;
    for (const auto& [holder, acknowledged] : m_acknowledged) {
        if (acknowledged >= next)
            return true;
    }
    return !m_saveInFlight && !m_savedCounters.empty();
}

void usage_duty::pushCopies()
{
    std::vector<copy_candidate> live;
    for (const auto& instance : m_leases.live())
        live.push_back({ instance.id, instance.failureDomain });
    const auto holders = copyHolders({ m_context.self, failure_domain_id(m_context.values.instance.failureDomain) }, live, m_settings.copies);
    std::erase_if(m_acknowledged, [&holders](const auto& entry) { return std::find(holders.begin(), holders.end(), entry.first) == holders.end(); });
    for (const auto& [holder, push] : m_sender.nextPushes(m_counter.origin(), m_counter.log(), holders)) {
        const auto address = m_leases.addressOf(holder);
        if (!address) {
            m_sender.failed(holder);
            continue;
        }
        m_peers.call(*address, "pushUsage", toJson(push), [this, recipient = holder](const result<Json::Value>& answer) {
            if (!answer || !answer->isUInt64()) {
                m_sender.failed(recipient);
                return;
            }
            const segment_number next(answer->asUInt64());
            m_sender.acknowledged(recipient, next);
            m_acknowledged[recipient] = next;
        });
    }
}

// An instance without others stores its unsealed segments in the key-value service instead.
void usage_duty::saveCounters()
{
    if (m_saveInFlight)
        return;
    const bool isAlone = m_leases.live().size() < 2;
    const bool hasUnsealed = m_counter.log().start() != m_counter.log().next();
    const auto value = isAlone && hasUnsealed ? countersValue(m_counter.log()) : std::string();
    if (value == m_savedCounters)
        return;
    m_saveInFlight = true;
    kv_transaction change;
    const auto key = countersKey(m_counter.origin());
    if (value.empty())
        change.then.emplace_back(kv_delete { key, {} });
    else
        change.then.emplace_back(kv_put { key, value, {} });
    m_context.kv.call(change, [this, value](const result<kv_answer>& answer) {
        m_saveInFlight = false;
        if (answer)
            m_savedCounters = value;
    });
}

// --- Closing -----------------------------------------------------------------------

template <typename Step>
void usage_duty::ifCurrentTerm(std::uint64_t term, Step step)
{
    if (term != m_term || !m_closer)
        return;
    step(*m_closer);
    runCloser();
}

void usage_duty::runCloser()
{
    if (!m_leases.holds(duty()))
        return;
    std::vector<instance_id> live;
    for (const auto& instance : m_leases.live())
        live.push_back(instance.id);
    execute(m_closer->tick(m_context.wall, live));
}

void usage_duty::execute(const std::vector<closer_action>& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& alternative) { execute(alternative); }, action);
}

void usage_duty::execute(const pull_usage& pull)
{
    const auto term = m_term;
    if (pull.instance == m_context.self) {
        m_counter.closeSegment(m_context.wall);
        m_closer->onPull(pull, answerPull(pull, m_counter, m_copies, m_context.wall));
        return;
    }
    const auto address = m_leases.addressOf(pull.instance);
    if (!address) {
        m_closer->onPull(pull, failure(error_code::Unavailable, "usage.pull", peer_kind::Instance, pull.instance.str(), "no address"));
        return;
    }
    m_peers.call(*address, "pullUsage", toJson(pull), [this, term, pull](const result<Json::Value>& answer) {
        ifCurrentTerm(term, [&](usage_closer& closer) {
            if (answer)
                closer.onPull(pull, pullAnswerFromJson(*answer));
            else
                closer.onPull(pull, tl::unexpected(answer.error()));
        });
    });
}

void usage_duty::execute(const read_prefix& read)
{
    kv_range range { read.prefix, prefixEnd(read.prefix), 0, {}, read.keysOnly };
    m_context.kv.call(range, [this, term = m_term, prefix = read.prefix](const result<kv_answer>& answer) {
        ifCurrentTerm(term, [&](usage_closer& closer) {
            if (!answer) {
                closer.onRead(prefix, tl::unexpected(answer.error()));
                return;
            }
            std::vector<key_value_pair> entries;
            for (const auto& entry : answer->entries)
                entries.push_back({ entry.key, entry.value });
            closer.onRead(prefix, entries);
        });
    });
}

void usage_duty::execute(const commit_entries& commit)
{
    kv_transaction transaction;
    for (const auto& key : commit.mustExist)
        transaction.compares.push_back({ key, kv_field::Exists, {}, {} });
    for (const auto& key : commit.mustNotExist)
        transaction.compares.push_back({ key, kv_field::CreateRevision, {}, {} });
    for (const auto& put : commit.puts)
        transaction.then.emplace_back(kv_put { put.key, put.value, {} });
    m_context.kv.call(transaction, [this, term = m_term, commit](const result<kv_answer>& answer) {
        commit_outcome outcome = commit_outcome::Unavailable;
        if (answer)
            outcome = answer->succeeded ? commit_outcome::Done : commit_outcome::Conflict;
        else if (answer.error().code == error_code::Unknown)
            outcome = commit_outcome::Unknown;
        ifCurrentTerm(term, [&](usage_closer& closer) { closer.onCommit(commit, outcome); });
    });
}

void usage_duty::execute(const remove_range& range)
{
    kv_transaction transaction;
    transaction.then.emplace_back(kv_delete { range.from, range.to });
    m_context.kv.call(transaction, [](const result<kv_answer>&) {});
}

void usage_duty::execute(const report_usage& report)
{
    // Check the lease again immediately before the report is sent.
    if (!m_leases.holds(duty())) {
        m_closer->onReport(report, report_outcome::Lost);
        return;
    }
    Json::Value body(Json::objectValue);
    body["account"] = report.account.str();
    body["window"] = Json::UInt64(report.window.value());
    body["fencing_number"] = Json::UInt64(report.fencing.value());
    body["digest"] = report.digest;
    body["figures"] = report.figures;
    body["late"] = report.late;
    http::request request;
    request.method = "POST";
    request.url = m_context.values.platform.platform + "/usage";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = toText(body);
    request.totalTimeout = reportTimeout;
    request.reuse = http::connection_reuse::Forbidden;
    m_context.platform.call(std::move(request), [this, term = m_term, report](const http::answer& answer) {
        report_outcome outcome = report_outcome::Lost;
        if (answer.outcome == http::transfer_result::Complete && answer.status == statusOk)
            outcome = report_outcome::Accepted;
        else if (answer.outcome == http::transfer_result::Complete && answer.status == statusConflict)
            outcome = report_outcome::Conflict;
        if (outcome == report_outcome::Accepted) {
            const auto end = windowEnd(report.window, m_settings);
            m_status.burn().count(usage_reported { { report.account, {} }, m_context.wall - end }, m_context.now);
        } else {
            logEvent(log_level::Warning, "usage", "report",
                { { "account", report.account.str() }, { "window", std::to_string(report.window.value()) }, { "status", std::to_string(answer.status) }, { "error", answer.detail } });
        }
        ifCurrentTerm(term, [&](usage_closer& closer) { closer.onReport(report, outcome); });
    });
}

// --- Operators ----------------------------------------------------------------------

void usage_duty::answerUsage(const operator_call& call)
{
    const std::string prefix(sealedPrefix);
    kv_range range { prefix, prefixEnd(prefix), 0, {}, false };
    std::optional<window_number> windowFilter;
    if (const auto windowQuery = call.query.find("window"); windowQuery != call.query.end())
        windowFilter = window_number(std::strtoull(windowQuery->second.c_str(), nullptr, 10));
    m_context.kv.call(range, [exchange = call.exchange, windowFilter](const result<kv_answer>& answer) {
        if (!answer) {
            answerError(exchange, answer.error());
            return;
        }
        // The parts of a window are consecutive; concatenated they are one JSON text.
        std::map<std::string, std::string> texts;
        for (const auto& entry : answer->entries)
            texts[entry.key.substr(0, entry.key.rfind('/'))] += entry.value;
        Json::Value body(Json::objectValue);
        body["rows"] = Json::Value(Json::arrayValue);
        body["differences"] = Json::UInt64(0);
        std::uint64_t differences = 0;
        for (const auto& [key, text] : texts) {
            const auto sealed = decodeSealed(text);
            if (!sealed || (windowFilter && sealed->window != *windowFilter))
                continue;
            differences += sealed->differenceCount;
            for (const auto& [account, usage] : sealed->accounts) {
                for (const auto& [usageKey, figures] : usage.figures)
                    body["rows"].append(rowOf(sealed->window, account, usageKey, figures));
                for (const auto& [window, lateUsage] : usage.late) {
                    for (const auto& [usageKey, figures] : lateUsage) {
                        auto row = rowOf(sealed->window, account, usageKey, figures);
                        row["late_for"] = Json::UInt64(window.value());
                        body["rows"].append(row);
                    }
                }
            }
        }
        body["differences"] = Json::UInt64(differences);
        answerJson(exchange, statusOk, body);
    });
}

} // namespace lovagerail::daemon
