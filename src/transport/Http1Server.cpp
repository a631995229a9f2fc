#include "foxtailring/transport/Http1Server.h"

#include "ConnectionSet.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Http1Connection.h"
#include "Http1ServerShared.h"
#include "Listener.h"

namespace foxtailring {

struct Http1Server::State
{
    void onAccepted(Socket socket);

    std::shared_ptr<Http1ServerShared> shared;
    ConnectionSet<Http1Connection> connections;
    std::shared_ptr<Listener> listener;
};

void Http1Server::State::onAccepted(Socket socket)
{
    const auto connection = std::make_shared<Http1Connection>(std::move(socket), shared);
    connections.add(connection);
    // Checked after add(), so that a concurrent close() cannot miss the connection.
    if (shared->isClosed)
        return connection->close();
    connection->start();
}

Http1Server::Http1Server(WorkerPool &pool, const Endpoint &endpoint, HttpLimits limits,
                         Handler handler)
    : m_state(std::make_shared<State>())
{
    m_state->shared = std::make_shared<Http1ServerShared>(limits, std::move(handler));
    m_state->listener = std::make_shared<Listener>(pool.context(), endpoint,
                                                   [state = std::weak_ptr(m_state)](Socket socket) {
                                                       if (const auto locked = state.lock())
                                                           locked->onAccepted(std::move(socket));
                                                   });
}

Http1Server::~Http1Server()
{
    close();
}

void Http1Server::onConnectionCut(CutHook hook)
{
    m_state->shared->cutHook = std::move(hook);
}

void Http1Server::limitBodyTime(BodyTimeHook hook)
{
    m_state->shared->bodyTimeHook = std::move(hook);
}

void Http1Server::limitMemory(MemoryHook hook)
{
    m_state->shared->memoryHook = std::move(hook);
}

Result<std::uint16_t> Http1Server::listen()
{
    return m_state->listener->listen();
}

void Http1Server::setLimits(HttpLimits limits)
{
    const bool isChanged = m_state->shared->setLimits(limits);
    for (const auto &connection : m_state->connections.openConnections()) {
        // The time that a body may take can have changed even if the limits have not.
        if (isChanged || connection->hasBodyStarted())
            connection->extendLimits();
    }
}

void Http1Server::disableKeepAlive()
{
    m_state->shared->isClosing = true;
}

Result<Done> Http1Server::ignoreNewConnections()
{
    return m_state->listener->ignoreAttempts();
}

void Http1Server::stopAccepting()
{
    m_state->shared->isStopping = true;
    m_state->listener->acceptPending();
    m_state->listener->close();
}

void Http1Server::closeIdle()
{
    m_state->shared->isClosingIdle = true;
    for (const auto &connection : m_state->connections.openConnections())
        connection->closeIdle();
}

void Http1Server::refuseRequests()
{
    m_state->shared->isRefusing = true;
}

void Http1Server::close()
{
    m_state->shared->isStopping = true;
    m_state->shared->isClosed = true;
    m_state->listener->close();
    for (const auto &connection : m_state->connections.openConnections())
        connection->close();
}

std::size_t Http1Server::openConnectionCount() const
{
    return m_state->connections.openConnections().size();
}

std::size_t Http1Server::expectedRequestCount() const
{
    return m_state->shared->expectedRequestCount;
}

std::size_t Http1Server::usableConnectionCount() const
{
    return m_state->shared->usableConnectionCount;
}

std::size_t Http1Server::openRequestCount() const
{
    return m_state->shared->openRequestCount;
}

} // namespace foxtailring
