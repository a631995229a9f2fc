#include "foxtailring/transport/Http2Client.h"

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http2Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Http2Session.h"

#include <mutex>

namespace foxtailring {

struct Http2Client::State
{
    State(net::io_context &ioContext, Endpoint target)
        : context(ioContext)
        , endpoint(std::move(target))
    {
    }

    std::shared_ptr<Http2Session> usableSession();
    std::shared_ptr<Http2Session> takeSession();

    net::io_context &context;
    const Endpoint endpoint;
    std::mutex mutex;
    bool isClosed = false;
    std::shared_ptr<Http2Session> session;
};

// After close(), returns a closed session, whose streams end with Unavailable.
std::shared_ptr<Http2Session> Http2Client::State::usableSession()
{
    const std::lock_guard lock(mutex);
    if (session && (isClosed || session->isUsable()))
        return session;
    session = std::make_shared<Http2Session>(Socket(net::make_strand(context)), nullptr);
    if (isClosed)
        session->close();
    else
        session->connect(endpoint);
    return session;
}

std::shared_ptr<Http2Session> Http2Client::State::takeSession()
{
    const std::lock_guard lock(mutex);
    return std::exchange(session, nullptr);
}

Http2Client::Http2Client(WorkerPool &pool, const Endpoint &endpoint)
    : m_state(std::make_shared<State>(pool.context(), endpoint))
{
}

Http2Client::~Http2Client()
{
    close();
}

std::shared_ptr<Http2Stream> Http2Client::open(std::string path, std::vector<HttpHeader> headers)
{
    return m_state->usableSession()->open(std::move(path), std::move(headers));
}

void Http2Client::reconnect(bool closeOld)
{
    const auto old = m_state->takeSession();
    if (!old)
        return;
    if (closeOld)
        old->close();
    else
        old->retire();
}

void Http2Client::close()
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->isClosed = true;
    }
    if (const auto session = m_state->takeSession())
        session->close();
}

bool Http2Client::isConnected() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->session && m_state->session->isConnected();
}

} // namespace foxtailring
