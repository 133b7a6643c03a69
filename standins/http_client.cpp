// HTTP client of the stand-ins, see http_client.h.
#include "http_client.h"

#include <curl/curl.h>
#include <memory>
#include <strings.h>

namespace lovagerail::standin {

namespace {

    struct call_state {
        const client_request& request;
        client_answer answer;
    };

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& state = *static_cast<call_state*>(context);
        if (!state.request.onData) {
            state.answer.body.append(data, size * count);
            return size * count;
        }
        return state.request.onData(std::string_view(data, size * count)) ? size * count : 0;
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto& state = *static_cast<call_state*>(context);
        const std::string line(data, size * count);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            return size * count;
        const auto first = line.find_first_not_of(' ', colon + 1);
        const auto end = line.find_last_not_of("\r\n ");
        const bool empty = first == std::string::npos || end < first;
        state.answer.headers.emplace_back(line.substr(0, colon), empty ? "" : line.substr(first, end - first + 1));
        return size * count;
    }

} // namespace

std::string client_answer::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

http_client::http_client()
    : m_handle(curl_easy_init())
{
}

http_client::~http_client() { curl_easy_cleanup(m_handle); }

client_answer http_client::call(const client_request& request)
{
    call_state state { request, {} };
    curl_easy_reset(m_handle);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : request.headers) {
        auto line = name;
        line.append(": ").append(value);
        headers = curl_slist_append(headers, line.c_str());
    }
    curl_easy_setopt(m_handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, &state);
    if (request.method != "GET") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, request.body.data());
    }
    const auto code = curl_easy_perform(m_handle);
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &state.answer.status);
    if (code != CURLE_OK)
        state.answer.error = curl_easy_strerror(code);
    curl_slist_free_all(headers);
    return state.answer;
}

client_answer httpCall(const client_request& request)
{
    http_client client;
    return client.call(request);
}

} // namespace lovagerail::standin
