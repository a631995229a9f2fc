#pragma once

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/WorkerPool.h"
#include "TestCompletion.h"
#include "Waiting.h"

#include <memory>
#include <string>
#include <vector>

/// \brief Backend server that a test drives: engine and plain service in one.
class TestEngine
{
public:
    explicit TestEngine(foxtailring::WorkerPool &pool);
    ~TestEngine();
    TestEngine(const TestEngine &) = delete;
    TestEngine &operator=(const TestEngine &) = delete;

    foxtailring::Endpoint endpoint() const { return m_endpoint; }
    /// \brief The completion with that index, once it has arrived.
    TestCompletion completion(std::size_t index);
    /// \brief The call with that index that is neither a completion nor a poll.
    TestCompletion call(std::size_t index);
    std::size_t callCount();
    std::size_t completionCount();
    /// \brief Waits until the sidecar has closed that many completion streams early.
    bool waitForCancelled(std::size_t count);
    /// \brief Without answer `/health` probes stay open.
    void setHealthy(bool healthy);
    void setLoad(const std::string &json);
    /// \brief Connections are closed without an answer.
    void setDown(bool down);
    /// \brief Waits until a request was closed without an answer since setDown().
    bool waitForClosed() const;
    void setCacheEvents(const std::string &json);
    /// \brief Accepts no connection from now on.
    void close();

private:
    struct Shared;

    const std::shared_ptr<Shared> m_shared;
    foxtailring::Http1Server m_server;
    foxtailring::Endpoint m_endpoint;
};
