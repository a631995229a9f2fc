#include "Http1ServerExchange.h"

#include "HookGuard.h"
#include "Http1Connection.h"

namespace foxtailring {

Http1ServerExchange::Http1ServerExchange(std::weak_ptr<Http1Connection> connection, Strand strand,
                                         const ResponseFraming &framing)
    : m_connection(std::move(connection))
    , m_strand(std::move(strand))
    , m_framing(framing)
{
}

void Http1ServerExchange::respond(HttpResponse response)
{
    const std::size_t payload = response.body.size();
    const auto connection = m_connection.lock();
    if (m_stage != Stage::Waiting || !connection) {
        pendingBytes -= payload;
        return;
    }
    updateKeepAlive(*connection);
    complete(serializeResponse(std::move(response), m_framing), payload);
}

void Http1ServerExchange::startStream(int status, const std::vector<HttpHeader> &headers)
{
    const auto connection = m_connection.lock();
    if (m_stage != Stage::Waiting || !connection)
        return;
    m_stage = Stage::Streaming;
    m_endsWithConnection = !m_framing.isChunked();
    updateKeepAlive(*connection);
    connection->send(serializeStreamHead(status, headers, m_framing), 0);
}

void Http1ServerExchange::write(const std::string &chunk)
{
    const auto connection = m_connection.lock();
    if (m_stage != Stage::Streaming || m_framing.headOnly || chunk.empty() || !connection) {
        pendingBytes -= chunk.size();
        return;
    }
    connection->send(m_framing.isChunked() ? encodeChunk(chunk) : chunk, chunk.size());
}

void Http1ServerExchange::finish()
{
    if (m_stage != Stage::Streaming)
        return;
    const bool hasLastChunk = m_framing.isChunked() && !m_framing.headOnly;
    complete(hasLastChunk ? encodeLastChunk() : std::string(), 0);
}

void Http1ServerExchange::abort()
{
    if (m_stage == Stage::Complete || m_stage == Stage::Disconnected)
        return;
    const auto connection = m_connection.lock();
    enterStage(Stage::Complete);
    if (connection && m_endsWithConnection)
        connection->closeNow();
    else if (connection)
        connection->completeResponse(false);
}

void Http1ServerExchange::setDisconnectHook(std::function<void()> hook)
{
    if (m_stage == Stage::Disconnected)
        runHook(hook);
    else if (m_stage != Stage::Complete)
        m_disconnectHook = std::move(hook);
}

void Http1ServerExchange::onResponderDestroyed()
{
    if (m_stage == Stage::Waiting)
        complete(serializeResponse(
                     problemResponse(500, "Internal Server Error", "the request was not answered"),
                     m_framing),
                 0);
    else
        abort();
}

void Http1ServerExchange::onDisconnected()
{
    if (m_stage == Stage::Complete || m_stage == Stage::Disconnected)
        return;
    m_stage = Stage::Disconnected;
    const auto hook = std::exchange(m_disconnectHook, nullptr);
    runHook(hook);
}

void Http1ServerExchange::dropHook()
{
    const auto hook = std::exchange(m_disconnectHook, nullptr);
}

// Called just before the head is sent, so that a stopping server can announce the close in it.
void Http1ServerExchange::updateKeepAlive(const Http1Connection &connection)
{
    // HTTP/1.0 has no chunks: the end of the connection ends a streamed response.
    if (connection.isClosing() || !m_framing.isChunked())
        m_framing.keepAlive = false;
}

void Http1ServerExchange::complete(std::string_view bytes, std::size_t payloadBytes)
{
    enterStage(Stage::Complete);
    if (const auto connection = m_connection.lock()) {
        connection->send(bytes, payloadBytes);
        connection->completeResponse(m_framing.keepAlive);
    }
}

void Http1ServerExchange::enterStage(Stage stage)
{
    m_stage = stage;
    dropHook();
}

} // namespace foxtailring
