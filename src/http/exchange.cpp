// Answers of requests, from any thread; see server.h.
#include "http/server.h"

#include <algorithm>
#include <microhttpd.h>

namespace lovagerail::http {

void exchange::resumeLocked()
{
    if (!m_suspended || m_connection == nullptr)
        return;
    m_suspended = false;
    MHD_resume_connection(m_connection);
}

void exchange::begin(int status, header_list answerHeaders)
{
    std::lock_guard lock(m_mutex);
    if (m_begun)
        return;
    m_begun = true;
    m_status = status;
    m_answerHeaders = std::move(answerHeaders);
    resumeLocked();
}

bool exchange::append(std::string_view bytes)
{
    std::lock_guard lock(m_mutex);
    if (m_connection == nullptr || m_ended || m_aborted)
        return false;
    if (m_unread.size() + bytes.size() > m_unreadLimit || !m_unread.append(bytes)) {
        m_aborted = true;
        m_unread.clear();
        resumeLocked();
        return false;
    }
    resumeLocked();
    return true;
}

void exchange::end()
{
    std::lock_guard lock(m_mutex);
    m_ended = true;
    resumeLocked();
}

void exchange::abort()
{
    std::lock_guard lock(m_mutex);
    m_aborted = true;
    m_begun = true;
    resumeLocked();
}

void exchange::answer(int status, header_list answerHeaders, byte_buffer answerBody)
{
    std::lock_guard lock(m_mutex);
    if (m_begun)
        return;
    m_begun = true;
    m_ended = true;
    m_bodyComplete = true;
    m_status = status;
    m_answerHeaders = std::move(answerHeaders);
    m_unread = std::move(answerBody);
    resumeLocked();
}

void exchange::answer(int status, header_list answerHeaders, std::string_view answerBody)
{
    auto buffer = newBuffer();
    const bool isShort = answerBody.size() <= ordinaryHoldingBytes;
    if (buffer.append(answerBody)) {
        answer(status, std::move(answerHeaders), std::move(buffer));
    } else if (isShort) {
        byte_buffer uncharged;
        uncharged.append(answerBody);
        answer(status, std::move(answerHeaders), std::move(uncharged));
    } else
        answer(detail::overloadedStatus, { { "Retry-After", std::string(detail::defaultRetryAfter) } }, byte_buffer());
}

void exchange::answerUntilClose(int status, header_list answerHeaders, byte_buffer answerBody)
{
    std::lock_guard lock(m_mutex);
    if (m_begun)
        return;
    m_begun = true;
    m_ended = true;
    m_untilClose = true;
    m_status = status;
    m_answerHeaders = std::move(answerHeaders);
    m_unread = std::move(answerBody);
    resumeLocked();
}

bool exchange::callerDisconnected() const
{
    std::lock_guard lock(m_mutex);
    return m_connection == nullptr;
}

} // namespace lovagerail::http
