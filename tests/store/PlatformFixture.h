#pragma once

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"

#include <cppunit/TestFixture.h>

#include <memory>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief An HTTP server in place of the platform; the test answers its requests one at a time.
class PlatformFixture : public CppUnit::TestFixture
{
public:
    struct PendingRequest
    {
        HttpRequest request;
        std::shared_ptr<Http1Responder> responder;
    };

    void setUp() override
    {
        m_pool.emplace(3);
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits(),
                         [this](HttpRequest request, std::shared_ptr<Http1Responder> responder) {
                             m_requests.put({std::move(request), std::move(responder)});
                         });
        m_service = {"127.0.0.1", m_server->listen().value()};
        m_http.emplace(*m_pool);
    }

    void tearDown() override
    {
        m_pool->stop();
        m_requests.clear();
        m_http.reset();
        m_server.reset();
        m_pool.reset();
    }

protected:
    /// \brief Waits for the next request, answers it and returns it.
    HttpRequest answer(std::string body, int status = 200)
    {
        PendingRequest pending = m_requests.take();
        pending.responder->respond({status, {}, std::move(body)});
        return std::move(pending.request);
    }

    std::optional<WorkerPool> m_pool;
    Mailbox<PendingRequest> m_requests;
    std::optional<Http1Server> m_server;
    std::optional<Http1Client> m_http;
    Endpoint m_service;
};

/// \brief Makes callbacks that put their result into a mailbox, which may outlive the test.
template <typename T>
class ResultMailbox
{
public:
    std::function<void(Result<T>)> hook()
    {
        return [mailbox = m_mailbox](Result<T> result) { mailbox->put(std::move(result)); };
    }
    Result<T> take() { return m_mailbox->take(); }
    bool isEmpty() const { return m_mailbox->isEmpty(); }

private:
    std::shared_ptr<Mailbox<Result<T>>> m_mailbox = std::make_shared<Mailbox<Result<T>>>();
};

} // namespace foxtailring
