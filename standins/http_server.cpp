// HTTP server of the stand-ins, see http_server.h.
#include "http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <memory>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>

namespace lovagerail::standin {

namespace {

    constexpr std::size_t connectionStackBytes = 256 * 1024;
    constexpr std::size_t streamBlockBytes = 16 * 1024;
    constexpr std::size_t connectionMemoryBytes = 32 * 1024;
    constexpr unsigned listenBacklog = 1024;
    constexpr std::chrono::milliseconds maxPollInterval { 50 };

    // A request whose body is still arriving.
    struct pending_request {
        std::string uri;
        http_request request;
        bool headReceived = false;
    };

    // An open stream, with text from its source that didn't fit into the last block.
    struct open_stream {
        std::function<stream_step(std::string&)> source;
        std::string pendingText;
        std::size_t offset = 0;
        stream_step lastStep = stream_step::More;
    };

    MHD_Result collectHeader(void* context, MHD_ValueKind, const char* key, const char* value)
    {
        auto& request = *static_cast<http_request*>(context);
        request.headers.emplace_back(key, value ? value : "");
        request.head += std::string(key) + ": " + (value ? value : "") + "\r\n";
        return MHD_YES;
    }

    MHD_Result collectQuery(void* context, MHD_ValueKind, const char* key, const char* value)
    {
        static_cast<http_request*>(context)->query[key] = value ? value : "";
        return MHD_YES;
    }

    void* onUri(void*, const char* uri, MHD_Connection*)
    {
        auto pending = std::make_unique<pending_request>();
        pending->uri = uri;
        return pending.release();
    }

    void onCompleted(void*, MHD_Connection*, void** context, MHD_RequestTerminationCode)
    {
        delete static_cast<pending_request*>(*context);
        *context = nullptr;
    }

    ssize_t readStream(void* context, std::uint64_t, char* buffer, std::size_t size)
    {
        auto& stream = *static_cast<open_stream*>(context);
        // Step 1. Ask the source for more once all earlier text has been written.
        while (stream.offset == stream.pendingText.size()) {
            if (stream.lastStep == stream_step::End)
                return MHD_CONTENT_READER_END_OF_STREAM;
            if (stream.lastStep == stream_step::Abort)
                return MHD_CONTENT_READER_END_WITH_ERROR;
            stream.pendingText.clear();
            stream.offset = 0;
            stream.lastStep = stream.source(stream.pendingText);
        }
        // Step 2. Copy as much as fits.
        const auto count = std::min(size, stream.pendingText.size() - stream.offset);
        std::copy_n(stream.pendingText.data() + stream.offset, count, buffer);
        stream.offset += count;
        return static_cast<ssize_t>(count);
    }

    void freeStream(void* context) { delete static_cast<open_stream*>(context); }

    MHD_Response* makeResponse(http_answer& answer)
    {
        if (!answer.stream)
            return MHD_create_response_from_buffer(answer.body.size(), answer.body.data(), MHD_RESPMEM_MUST_COPY);
        auto stream = std::make_unique<open_stream>();
        stream->source = std::move(answer.stream);
        return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, readStream, stream.release(), freeStream);
    }

    MHD_Result sendAnswer(MHD_Connection* connection, http_answer answer)
    {
        if (answer.drop)
            return MHD_NO;
        auto* response = makeResponse(answer);
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.contentType.c_str());
        for (const auto& [name, value] : answer.headers)
            MHD_add_response_header(response, name.c_str(), value.c_str());
        const auto queued = MHD_queue_response(connection, answer.status, response);
        MHD_destroy_response(response);
        return queued;
    }

    MHD_Result onAccess(void* server, MHD_Connection* connection, const char* url, const char* method,
        const char* version, const char* data, std::size_t* size, void** context)
    {
        auto& pending = *static_cast<pending_request*>(*context);
        auto& request = pending.request;
        // Step 1. libmicrohttpd calls this first with the headers only.
        if (!pending.headReceived) {
            pending.headReceived = true;
            request.method = method;
            request.path = url;
            request.uri = pending.uri;
            request.head = request.method + " " + request.uri + " " + version + "\r\n";
            MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &request);
            MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectQuery, &request);
            request.socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
            return MHD_YES;
        }
        // Step 2. Further calls deliver the body in parts.
        if (*size) {
            request.body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        // Step 3. The last call, without data, is answered.
        try {
            return sendAnswer(connection, static_cast<http_server*>(server)->serve(request));
        } catch (const Json::Exception& error) {
            // A member of the body has another type than the handler expects.
            return sendAnswer(connection, errorAnswer(MHD_HTTP_BAD_REQUEST, error.what()));
        }
    }

} // namespace

std::string http_request::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

http_answer jsonAnswer(const Json::Value& value, unsigned status)
{
    http_answer answer;
    answer.status = status;
    answer.body = toCompactJson(value);
    return answer;
}

http_answer errorAnswer(unsigned status, const std::string& message)
{
    Json::Value value;
    value["error"] = message;
    return jsonAnswer(value, status);
}

http_answer droppedAnswer()
{
    http_answer answer;
    answer.drop = true;
    return answer;
}

http_server::http_server(std::string address, std::uint16_t port, handler onRequest, handler onControl)
    : m_address(std::move(address))
    , m_port(port)
    , m_onRequest(std::move(onRequest))
    , m_onControl(std::move(onControl))
{
}

http_server::~http_server() { stop(); }

bool http_server::start()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    if (inet_pton(AF_INET, m_address.c_str(), &address.sin_addr) != 1)
        return false;
    m_stopping = false;
    m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC,
        m_port, nullptr, nullptr, onAccess, this,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
        MHD_OPTION_URI_LOG_CALLBACK, onUri, nullptr,
        MHD_OPTION_NOTIFY_COMPLETED, onCompleted, nullptr,
        MHD_OPTION_THREAD_STACK_SIZE, connectionStackBytes,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog,
        MHD_OPTION_END);
    return m_daemon != nullptr;
}

void http_server::stop()
{
    m_stopping = true;
    if (m_daemon)
        MHD_stop_daemon(std::exchange(m_daemon, nullptr));
}

bool http_server::connected(int socket) const
{
    pollfd watched { socket, POLLRDHUP, 0 };
    return !m_stopping && poll(&watched, 1, 0) == 0;
}

bool http_server::pause(int socket, std::chrono::nanoseconds time) const
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (!m_stopping) {
        const auto left = end - std::chrono::steady_clock::now();
        if (left.count() <= 0)
            return true;
        const auto slice = std::min<std::chrono::nanoseconds>(left, maxPollInterval);
        const timespec timeout { 0, static_cast<long>(slice.count()) };
        pollfd waited { socket, POLLRDHUP, 0 };
        if (ppoll(&waited, 1, &timeout, nullptr) > 0)
            return false;
    }
    return false;
}

http_answer http_server::serve(const http_request& request)
{
    if (request.path.starts_with("/control"))
        return control(request);
    counters.add("calls");
    counters.add("calls " + request.method + " " + request.path.substr(0, request.path.find('/', 1)));
    const auto path = faults.text("path");
    const bool faultsApply = path.empty() || request.path.starts_with(path);
    if (faultsApply) {
        if (auto replacement = faultAnswer(request))
            return std::move(*replacement);
    }
    auto answer = m_onRequest(request);
    if (faultsApply && faults.consume("lose_answers")) {
        counters.add("lost_answers");
        answer.drop = true;
    }
    return answer;
}

std::optional<http_answer> http_server::faultAnswer(const http_request& request)
{
    while (faults.isOn("hang")) {
        if (!pause(request.socket, maxPollInterval))
            return droppedAnswer();
    }
    const auto delay = std::chrono::milliseconds(faults.number("slow_ms"));
    if (delay.count() > 0 && !pause(request.socket, delay))
        return droppedAnswer();
    if (faults.isOn("outage")) {
        counters.add("refused_by_outage");
        return errorAnswer(MHD_HTTP_SERVICE_UNAVAILABLE, "outage");
    }
    if (faults.consume("drop_requests"))
        return droppedAnswer();
    return std::nullopt;
}

http_answer http_server::control(const http_request& request)
{
    if (request.path == "/control/faults") {
        if (request.method == "POST")
            faults.merge(parseJson(request.body));
        if (request.method == "POST" && m_onControl)
            m_onControl(request);
        return jsonAnswer(faults.toJson());
    }
    if (request.path == "/control/stats")
        return jsonAnswer(counters.toJson());
    if (m_onControl)
        return m_onControl(request);
    return errorAnswer(MHD_HTTP_NOT_FOUND, "no such control call");
}

void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace lovagerail::standin
