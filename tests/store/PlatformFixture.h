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

/// \brief A platform whose replies the test gives one by one.
class PlatformFixture : public CppUnit::TestFixture
{
public:
    struct Arrived
    {
        HttpRequest request;
        std::shared_ptr<Http1Responder> responder;
    };

    void setUp() override
    {
        m_pool.emplace(3);
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits(),
                         [this](HttpRequest request, std::shared_ptr<Http1Responder> responder) {
                             m_arrived.put({std::move(request), std::move(responder)});
                         });
        m_service = {"127.0.0.1", m_server->listen().value()};
        m_http.emplace(*m_pool);
    }

    void tearDown() override
    {
        m_pool->stop();
        m_arrived.clear();
        m_http.reset();
        m_server.reset();
        m_pool.reset();
    }

protected:
    /// \brief Answers the next request and returns it.
    HttpRequest answer(std::string body, int status = 200)
    {
        Arrived arrived = m_arrived.take();
        arrived.responder->respond({status, {}, std::move(body)});
        return std::move(arrived.request);
    }

    std::optional<WorkerPool> m_pool;
    Mailbox<Arrived> m_arrived;
    std::optional<Http1Server> m_server;
    std::optional<Http1Client> m_http;
    Endpoint m_service;
};

/// \brief A hook that passes its result to a mailbox, which may outlive the test.
template <typename T>
class ResultBox
{
public:
    std::function<void(Result<T>)> hook()
    {
        return [box = m_box](Result<T> result) { box->put(std::move(result)); };
    }
    Result<T> take() { return m_box->take(); }
    bool isEmpty() const { return m_box->isEmpty(); }

private:
    std::shared_ptr<Mailbox<Result<T>>> m_box = std::make_shared<Mailbox<Result<T>>>();
};

} // namespace foxtailring
