// Maps requests to libcurl easy handles on one multi handle, and their callbacks to events.
#include "http/client.h"
#include "http/answer_head.h"
#include "http/idle_connections.h"
#include "http/message_parts.h"
#include "http/socket_close.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>

namespace lovagerail::http {

namespace {

    constexpr long maxKeptConnections = 256;
    constexpr long keepAliveSeconds = 1; // the shortest that the kernel accepts
    // Of all answers under way that callers collect; beyond, the largest breaks off.
    constexpr std::size_t maxCollectedBytes = 64U << 20U;
    // Of bodies that were received and not delivered as events yet; beyond, transfers pause.
    constexpr std::size_t maxPendingBodyBytes = 2U << 20U;

    struct transfer {
        request outgoing;
        CURL* easy = nullptr;
        curl_slist* headerLines = nullptr;
        std::vector<event>* pendingEvents = nullptr;
        answer_head head;
        bool headReported = false;
        bool connected = false;
        std::size_t bodyBytes = 0; // if they are bounded
        std::size_t* collectedBytes = nullptr; // sum over all transfers of the client
        std::size_t* pendingBytes = nullptr; // of bodies in *pendingEvents
        std::vector<std::uint64_t>* paused = nullptr; // transfers that wait until these are delivered
        const std::unordered_map<std::uint64_t, std::unique_ptr<transfer>>* all = nullptr; // of the client
        idle_connections* idle = nullptr; // of the client; null for a connection that the peer may speak on at any time
        int openedSocket = -1; // for this transfer
        std::optional<connection_name> connectionName {}; // while it is counted as used
        const char* refusal = nullptr; // why the answer was broken off here
        std::chrono::steady_clock::time_point lastByte;
    };

    void initLibcurl()
    {
        static std::once_flag once;
        std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    }

    bool isSecure(const request& outgoing) { return outgoing.url.rfind("https:", 0) == 0; }

    bool equalIgnoringCase(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

    // How the body's end will be marked, by a head that has ended.
    answer_framing announcedFraming(const transfer& t)
    {
        constexpr int noContent = 204;
        constexpr int notModified = 304;
        const auto status = t.head.status();
        long version = 0;
        curl_easy_getinfo(t.easy, CURLINFO_HTTP_VERSION, &version);
        if (!t.head.hasEnded())
            return answer_framing::None;
        if (t.outgoing.method == "HEAD" || status == noContent || status == notModified)
            return answer_framing::NoBody;
        if (version >= CURL_HTTP_VERSION_2_0)
            return answer_framing::Chunks;
        // Next to a transfer encoding, libcurl ignores the length.
        const auto encoding = findHeader(t.head.headers(), "transfer-encoding");
        if (!encoding.empty())
            return equalIgnoringCase(encoding, "chunked") ? answer_framing::Chunks : answer_framing::Close;
        return findHeader(t.head.headers(), "content-length").empty() ? answer_framing::Close : answer_framing::Length;
    }

    // Emits the Head event, once, before the first byte of the body or the end.
    void reportHead(transfer& t)
    {
        if (t.headReported)
            return;
        t.headReported = true;
        event head;
        head.what = event::kind::Head;
        head.id = t.outgoing.id;
        head.status = t.head.status();
        head.headers = t.head.headers();
        head.framing = announcedFraming(t);
        t.pendingEvents->push_back(std::move(head));
    }

    // Counts bytes of a body; false if the answer has become too large.
    bool countBody(transfer& t, std::size_t bytes)
    {
        if (t.outgoing.maxBodyBytes == 0)
            return true;
        t.bodyBytes += bytes;
        *t.collectedBytes += bytes;
        if (t.bodyBytes > t.outgoing.maxBodyBytes) {
            t.refusal = "the answer's body is too large";
            return false;
        }
        const auto isLarger = [&t](const auto& entry) { return entry.second->bodyBytes > t.bodyBytes; };
        if (*t.collectedBytes <= maxCollectedBytes || std::any_of(t.all->begin(), t.all->end(), isLarger))
            return true;
        t.refusal = "the answers under way are too large together";
        return false;
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto& t = *static_cast<transfer*>(user);
        t.lastByte = std::chrono::steady_clock::now();
        t.refusal = t.head.add({ data, size * count });
        return t.refusal == nullptr ? size * count : 0;
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto& t = *static_cast<transfer*>(user);
        t.lastByte = std::chrono::steady_clock::now();
        if (*t.pendingBytes > maxPendingBodyBytes) {
            t.paused->push_back(t.outgoing.id);
            return CURL_WRITEFUNC_PAUSE;
        }
        if (!countBody(t, size * count))
            return 0;
        *t.pendingBytes += size * count;
        reportHead(t);
        event body;
        body.what = event::kind::Body;
        body.id = t.outgoing.id;
        body.bytes.assign(data, size * count);
        t.pendingEvents->push_back(std::move(body));
        return size * count;
    }

    // Notes the socket of a new connection, and bounds how long sent bytes may stay unacknowledged on it.
    int onSocket(void* user, curl_socket_t descriptor, curlsocktype)
    {
        auto& t = *static_cast<transfer*>(user);
        t.openedSocket = descriptor;
        const auto milliseconds = static_cast<unsigned>(t.outgoing.unacknowledgedTimeout.count());
        if (milliseconds > 0 && setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds) != 0)
            return CURL_SOCKOPT_ERROR;
        return CURL_SOCKOPT_OK;
    }

    int closeSocket(void* user, curl_socket_t descriptor)
    {
        static_cast<idle_connections*>(user)->closed(descriptor);
        return closeDiscardingUnacknowledged(descriptor);
    }

    connection_use connectionOf(const transfer& t)
    {
        if (!t.connected)
            return connection_use::None;
        long opened = 0;
        curl_easy_getinfo(t.easy, CURLINFO_NUM_CONNECTS, &opened);
        return opened == 0 ? connection_use::Kept : connection_use::New;
    }

    // Called when a connection is there, before the request is sent on it.
    int onConnected(void* user, char* peerIp, char*, int peerPort, int ownPort)
    {
        auto& t = *static_cast<transfer*>(user);
        t.connected = true;
        if (t.idle != nullptr) {
            t.connectionName = connection_name { peerIp, peerPort, ownPort };
            t.idle->used(*t.connectionName, connectionOf(t) == connection_use::New ? t.openedSocket : -1);
        }
        if (t.outgoing.reportConnected) {
            event connected;
            connected.what = event::kind::Connected;
            connected.id = t.outgoing.id;
            connected.connection = connectionOf(t);
            t.pendingEvents->push_back(std::move(connected));
        }
        return CURL_PREREQFUNC_OK;
    }

    // Headers that libcurl adds by default unless they are suppressed.
    constexpr std::string_view libcurlHeaders[] = { "Accept", "Content-Type", "User-Agent" };

    // How much of a request that ended with this code the peer may have received.
    transfer_result outcomeOf(const transfer& t, CURLcode code)
    {
        const auto framing = announcedFraming(t);
        // libcurl succeeds too if the connection is closed within the head.
        if (code == CURLE_OK && framing != answer_framing::None)
            return framing == answer_framing::Close ? transfer_result::Unproven : transfer_result::Complete;
        if (t.head.hasBegun())
            return transfer_result::Truncated;
        long sent = 0;
        curl_easy_getinfo(t.easy, CURLINFO_REQUEST_SIZE, &sent);
        return sent == 0 ? transfer_result::NotSent : transfer_result::NoAnswer;
    }

} // namespace

std::string_view toString(answer_framing framing)
{
    switch (framing) {
    case answer_framing::None:
        return "none";
    case answer_framing::NoBody:
        return "no_body";
    case answer_framing::Length:
        return "length";
    case answer_framing::Chunks:
        return "chunks";
    case answer_framing::Close:
        return "close";
    }
    return "none";
}

std::string_view toString(connection_use use)
{
    switch (use) {
    case connection_use::None:
        return "none";
    case connection_use::New:
        return "new";
    case connection_use::Kept:
        return "kept";
    }
    return "none";
}

std::string_view findHeader(const header_list& headers, std::string_view lowerName)
{
    for (const auto& [name, value] : headers) {
        if (name == lowerName)
            return value;
    }
    return {};
}

struct client::state {
    CURLM* multi = nullptr;
    std::unordered_map<std::uint64_t, std::unique_ptr<transfer>> transfers;
    std::vector<event> pending;
    std::size_t collectedBytes = 0;
    std::size_t pendingBytes = 0; // of bodies in `pending`
    idle_connections idle;
    bool hasStarted = false; // a transfer, since the last poll
    std::vector<std::uint64_t> paused; // transfers whose next bytes wait until `pending` is delivered
    std::string sourceAddress; // as libcurl expects it; empty = the system chooses

    void release(const transfer& t)
    {
        collectedBytes -= t.bodyBytes;
        if (t.connectionName)
            idle.released(*t.connectionName);
        curl_multi_remove_handle(multi, t.easy);
        curl_easy_cleanup(t.easy);
        curl_slist_free_all(t.headerLines);
    }

    void finish(transfer& t, transfer_result outcome, std::string detail)
    {
        event done;
        done.what = event::kind::Done;
        done.id = t.outgoing.id;
        done.status = t.head.status();
        done.outcome = outcome;
        done.detail = std::move(detail);
        done.connection = connectionOf(t);
        if (outcome == transfer_result::Complete || outcome == transfer_result::Unproven)
            done.framing = announcedFraming(t);
        pending.push_back(std::move(done));
        const auto id = t.outgoing.id;
        release(t);
        transfers.erase(id);
    }

    // Lets paused transfers go on; those that find no room pause again.
    void resumePaused()
    {
        for (const auto id : std::exchange(paused, {})) {
            const auto found = transfers.find(id);
            if (found != transfers.end())
                curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
        }
    }

    // Ends transfers whose peer has sent nothing for the idle timeout.
    void failIdleTransfers()
    {
        const auto now = std::chrono::steady_clock::now();
        std::vector<transfer*> silent;
        for (const auto& [id, t] : transfers) {
            if (t->outgoing.idleTimeout.count() == 0 || now - t->lastByte < t->outgoing.idleTimeout)
                continue;
            silent.push_back(t.get());
        }
        for (auto* t : silent)
            finish(*t, outcomeOf(*t, CURLE_OPERATION_TIMEDOUT), "no bytes from the peer within the idle timeout");
    }
};

client::client()
    : m_state(std::make_unique<state>())
{
    initLibcurl();
    m_state->multi = curl_multi_init();
    curl_multi_setopt(m_state->multi, CURLMOPT_MAXCONNECTS, maxKeptConnections);
}

client::~client()
{
    for (auto& [id, t] : m_state->transfers)
        m_state->release(*t);
    curl_multi_cleanup(m_state->multi);
}

void client::setSourceAddress(const std::string& address) { m_state->sourceAddress = address.empty() ? std::string() : "host!" + address; }

void client::start(request outgoing)
{
    const bool isWritable = isRequestPart(outgoing.method) && isRequestPart(outgoing.url) && isRequestPart(outgoing.target)
        && std::all_of(outgoing.headers.begin(), outgoing.headers.end(), [](const auto& header) { return isHeaderName(header.first) && isHeaderValue(header.second); });
    if (!isWritable) {
        event refused;
        refused.what = event::kind::Done;
        refused.id = outgoing.id;
        refused.outcome = transfer_result::NotSent;
        refused.detail = "a line break or a zero byte in the head of the request";
        m_state->pending.push_back(std::move(refused));
        return;
    }
    auto owned = std::make_unique<transfer>();
    transfer& t = *owned;
    t.outgoing = std::move(outgoing);
    t.head = answer_head(t.outgoing.maxHeadBytes, isSecure(t.outgoing));
    t.pendingEvents = &m_state->pending;
    t.all = &m_state->transfers;
    t.collectedBytes = &m_state->collectedBytes;
    t.pendingBytes = &m_state->pendingBytes;
    t.paused = &m_state->paused;
    // Over TLS and HTTP/2 a peer may send at any time.
    t.idle = isSecure(t.outgoing) ? nullptr : &m_state->idle;
    m_state->hasStarted = true;
    t.lastByte = std::chrono::steady_clock::now();
    t.easy = curl_easy_init();

    // Step 1. URL and timeouts.
    curl_easy_setopt(t.easy, CURLOPT_URL, t.outgoing.url.c_str());
    curl_easy_setopt(t.easy, CURLOPT_CUSTOMREQUEST, t.outgoing.method.c_str());
    curl_easy_setopt(t.easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(t.outgoing.connectTimeout.count()));
    curl_easy_setopt(t.easy, CURLOPT_TIMEOUT_MS, static_cast<long>(t.outgoing.totalTimeout.count()));
    curl_easy_setopt(t.easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(t.easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(t.easy, CURLOPT_PROXY, "");
    curl_easy_setopt(t.easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(t.easy, CURLOPT_PROTOCOLS_STR, "http,https");
    if (!m_state->sourceAddress.empty())
        curl_easy_setopt(t.easy, CURLOPT_INTERFACE, m_state->sourceAddress.c_str());
    if (!t.outgoing.target.empty())
        curl_easy_setopt(t.easy, CURLOPT_REQUEST_TARGET, t.outgoing.target.c_str());
    curl_easy_setopt(t.easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
    curl_easy_setopt(t.easy, CURLOPT_CLOSESOCKETDATA, &m_state->idle);
    curl_easy_setopt(t.easy, CURLOPT_SOCKOPTFUNCTION, onSocket);
    curl_easy_setopt(t.easy, CURLOPT_SOCKOPTDATA, &t);
    if (t.outgoing.unacknowledgedTimeout.count() > 0) {
        // While nothing is being sent, only keep-alive probes detect a dead connection.
        curl_easy_setopt(t.easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(t.easy, CURLOPT_TCP_KEEPIDLE, keepAliveSeconds);
        curl_easy_setopt(t.easy, CURLOPT_TCP_KEEPINTVL, keepAliveSeconds);
    }
    if (!t.outgoing.caFile.empty())
        curl_easy_setopt(t.easy, CURLOPT_CAINFO, t.outgoing.caFile.c_str());
    if (t.outgoing.reuse == connection_reuse::Forbidden)
        curl_easy_setopt(t.easy, CURLOPT_FRESH_CONNECT, 1L);

    if (t.outgoing.closeAfter)
        curl_easy_setopt(t.easy, CURLOPT_FORBID_REUSE, 1L);

    // Step 2. Send exactly the given headers, without libcurl's defaults.
    for (const auto& [name, value] : t.outgoing.headers) {
        // libcurl omits an empty header unless it is written with a semicolon.
        std::string line = name;
        line += value.empty() ? ";" : ": ";
        line += value;
        t.headerLines = curl_slist_append(t.headerLines, line.c_str());
    }
    for (const auto defaultHeader : libcurlHeaders) {
        const bool isGiven = std::any_of(t.outgoing.headers.begin(), t.outgoing.headers.end(), [defaultHeader](const auto& h) { return equalIgnoringCase(h.first, defaultHeader); });
        if (isGiven)
            continue;
        std::string line(defaultHeader);
        line += ':';
        t.headerLines = curl_slist_append(t.headerLines, line.c_str());
    }
    t.headerLines = curl_slist_append(t.headerLines, "Expect:");
    curl_easy_setopt(t.easy, CURLOPT_HTTPHEADER, t.headerLines);

    // Step 3. The body, including an empty one for methods that need a Content-Length.
    const auto content = t.outgoing.content();
    const bool bodyless = content.empty() && (t.outgoing.method == "GET" || t.outgoing.method == "HEAD" || t.outgoing.method == "DELETE");
    if (!bodyless) {
        curl_easy_setopt(t.easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(content.size()));
        curl_easy_setopt(t.easy, CURLOPT_POSTFIELDS, content.empty() ? "" : content.data());
    }
    if (t.outgoing.method == "HEAD")
        curl_easy_setopt(t.easy, CURLOPT_NOBODY, 1L);

    // Step 4. Callbacks for the answer.
    curl_easy_setopt(t.easy, CURLOPT_PRIVATE, &t);
    curl_easy_setopt(t.easy, CURLOPT_PREREQFUNCTION, onConnected);
    curl_easy_setopt(t.easy, CURLOPT_PREREQDATA, &t);
    curl_easy_setopt(t.easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(t.easy, CURLOPT_HEADERDATA, &t);
    curl_easy_setopt(t.easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(t.easy, CURLOPT_WRITEDATA, &t);

    curl_multi_add_handle(m_state->multi, t.easy);
    m_state->transfers[t.outgoing.id] = std::move(owned);
}

void client::cancel(std::uint64_t id)
{
    const auto found = m_state->transfers.find(id);
    if (found == m_state->transfers.end())
        return;
    m_state->release(*found->second);
    m_state->transfers.erase(found);
    auto& pending = m_state->pending;
    pending.erase(std::remove_if(pending.begin(), pending.end(), [id](const event& e) { return e.id == id; }), pending.end());
}

std::vector<event> client::poll(std::chrono::milliseconds maxWait, int wakeDescriptor)
{
    return poll(maxWait, wakeDescriptor < 0 ? std::span<const int>() : std::span<const int>(&wakeDescriptor, 1));
}

std::vector<event> client::poll(std::chrono::milliseconds maxWait, std::span<const int> wakeDescriptors)
{
    // Step 1. Wait for the sockets, the descriptors or the timeout.
    m_state->resumePaused();
    std::vector<curl_waitfd> extras;
    for (const int descriptor : wakeDescriptors)
        extras.push_back({ descriptor, CURL_WAIT_POLLIN, 0 });
    if (m_state->pending.empty())
        curl_multi_poll(m_state->multi, extras.data(), static_cast<unsigned>(extras.size()), static_cast<int>(maxWait.count()), nullptr);

    // Step 2. Transfer bytes; the callbacks append to the pending events. New requests use no connection on which
    // bytes without a request have arrived.
    if (std::exchange(m_state->hasStarted, false))
        m_state->idle.shutDownUnexpected();
    int running = 0;
    curl_multi_perform(m_state->multi, &running);

    // Step 3. Finish completed transfers.
    int messagesLeft = 0;
    while (CURLMsg* message = curl_multi_info_read(m_state->multi, &messagesLeft)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        transfer* t = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &t);
        const CURLcode code = message->data.result;
        const auto outcome = outcomeOf(*t, code);
        const bool ended = outcome == transfer_result::Complete || outcome == transfer_result::Unproven;
        if (ended)
            reportHead(*t);
        std::string detail;
        if (t->refusal != nullptr)
            detail = t->refusal;
        else if (!ended)
            detail = code == CURLE_OK ? "the answer ended within its head" : curl_easy_strerror(code);
        m_state->finish(*t, outcome, std::move(detail));
    }
    m_state->failIdleTransfers();
    m_state->pendingBytes = 0;
    return std::exchange(m_state->pending, {});
}

std::size_t client::open() const
{
    return m_state->transfers.size();
}

answer fetch(request outgoing)
{
    client single;
    answer out;
    single.start(std::move(outgoing));
    for (;;) {
        for (auto& e : single.poll(std::chrono::milliseconds(1000))) {
            if (e.what == event::kind::Head)
                out.headers = std::move(e.headers);
            else if (e.what == event::kind::Body)
                out.body += e.bytes;
            else {
                out.status = e.status;
                out.outcome = e.outcome;
                out.detail = std::move(e.detail);
                out.connection = e.connection;
                return out;
            }
        }
    }
}

} // namespace lovagerail::http
