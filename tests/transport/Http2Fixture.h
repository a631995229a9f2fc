#pragma once

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http2Client.h"
#include "foxtailring/transport/Http2Server.h"
#include "foxtailring/transport/Http2Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"

#include <cppunit/TestFixture.h>

#include <memory>
#include <optional>
#include <string>

namespace foxtailring {

using StreamPointer = std::shared_ptr<Http2Stream>;

/// \brief Records the events of one stream, in order.
class StreamLog
{
public:
    void follow(Http2Stream &stream)
    {
        // Hooks may run after a failed test has left its scope, so they share the state.
        stream.onData([state = m_state](std::string_view bytes) { state->data += bytes; });
        stream.onEnd([state = m_state] { state->events.put("end"); });
        stream.onClosed([state = m_state](const Result<Done> &result) {
            state->events.put(result.isOk() ? "ok"
                                            : std::string(errorCodeName(result.error().code)));
        });
    }

    /// \brief Bytes received before the last event that was taken.
    const std::string &data() const { return m_state->data; }
    std::string next() { return m_state->events.take(); }
    bool hasNoEvent() const { return m_state->events.isEmpty(); }

private:
    struct State
    {
        std::string data;
        Mailbox<std::string> events;
    };
    std::shared_ptr<State> m_state = std::make_shared<State>();
};

inline const std::string ended = "end";
inline const std::string ok = "ok";
inline const std::string lost = std::string(errorCodeName(ErrorCode::Closed));
inline const std::string notSent = std::string(errorCodeName(ErrorCode::Unavailable));

inline void echo(const StreamPointer &stream)
{
    // The hooks hold the stream; they are destroyed when it closes.
    stream->onData([stream](std::string_view bytes) { stream->send(std::string(bytes)); });
    stream->onEnd([stream] { stream->finish(); });
    stream->onClosed([](const Result<Done> &) {});
}

/// \brief A client and a server in one process.
class Http2Fixture : public CppUnit::TestFixture
{
public:
    void setUp() override { m_pool.emplace(4); }

    void tearDown() override
    {
        m_pool->stop();
        m_accepted.clear();
        m_client.reset();
        m_server.reset();
        m_pool.reset();
    }

protected:
    /// \brief Starts server and client; without a handler, new streams go to m_accepted.
    void start(Http2Server::Handler handler = nullptr)
    {
        if (!handler)
            handler = [this](const StreamPointer &stream) { m_accepted.put(stream); };
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", 0}, std::move(handler));
        m_port = m_server->listen().value();
        m_client.emplace(*m_pool, Endpoint {"127.0.0.1", m_port});
    }

    std::string exchange(std::string message)
    {
        StreamLog log;
        const auto stream = m_client->open("/");
        log.follow(*stream);
        stream->send(std::move(message));
        stream->finish();
        CPPUNIT_ASSERT_EQUAL(ended, log.next());
        CPPUNIT_ASSERT_EQUAL(ok, log.next());
        return log.data();
    }

    std::optional<WorkerPool> m_pool;
    Mailbox<StreamPointer> m_accepted;
    std::optional<Http2Server> m_server;
    std::optional<Http2Client> m_client;
    std::uint16_t m_port = 0;
};

} // namespace foxtailring
