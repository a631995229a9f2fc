#include "foxtailring/transport/Http2Server.h"

#include "ConnectionSet.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Http2Session.h"
#include "Listener.h"

#include <atomic>

namespace foxtailring {

struct Http2Server::State
{
    void onAccepted(Socket socket);

    Handler handler;
    std::atomic<bool> isStopping = false;
    ConnectionSet<Http2Session> sessions;
    std::shared_ptr<Listener> listener;
};

void Http2Server::State::onAccepted(Socket socket)
{
    const auto session = std::make_shared<Http2Session>(std::move(socket), handler);
    sessions.add(session);
    // Checked after add(), so that a concurrent close() cannot miss the session.
    if (isStopping)
        session->close();
    else
        session->start();
}

Http2Server::Http2Server(WorkerPool &pool, const Endpoint &endpoint, Handler handler)
    : m_state(std::make_shared<State>())
{
    m_state->handler = std::move(handler);
    m_state->listener = std::make_shared<Listener>(pool.context(), endpoint,
                                                   [state = std::weak_ptr(m_state)](Socket socket) {
                                                       if (const auto locked = state.lock())
                                                           locked->onAccepted(std::move(socket));
                                                   });
}

Http2Server::~Http2Server()
{
    close();
}

Result<std::uint16_t> Http2Server::listen()
{
    return m_state->listener->listen();
}

void Http2Server::stopAccepting()
{
    m_state->isStopping = true;
    m_state->listener->close();
    for (const auto &session : m_state->sessions.openConnections())
        session->retire();
}

void Http2Server::close()
{
    m_state->isStopping = true;
    m_state->listener->close();
    for (const auto &session : m_state->sessions.openConnections())
        session->close();
}

} // namespace foxtailring
