// Starting, naming and joining threads.
#include "named_thread.h"

#include <csignal>
#include <stdexcept>
#include <utility>

namespace lovagerail {

namespace {

    void* runBody(void* body)
    {
        (*static_cast<std::function<void()>*>(body))();
        return nullptr;
    }

} // namespace

named_thread::named_thread(const std::string& name, std::function<void()> body)
    : m_body(std::move(body))
{
    constexpr std::size_t maxNameLength = 15;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, threadStackBytes);

    // Only the main thread handles signals: block all of them while the new thread inherits
    // the mask.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    const int code = pthread_create(&m_thread, &attributes, runBody, &m_body);
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    pthread_attr_destroy(&attributes);

    if (code != 0)
        throw std::runtime_error("pthread_create failed for " + name);
    pthread_setname_np(m_thread, name.substr(0, maxNameLength).c_str());
}

named_thread::~named_thread()
{
    join();
}

void named_thread::join()
{
    if (m_joined)
        return;
    pthread_join(m_thread, nullptr);
    m_joined = true;
}

} // namespace lovagerail
