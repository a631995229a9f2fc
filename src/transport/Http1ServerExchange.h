#pragma once

#include "foxtailring/transport/HttpResponse.h"
#include "HttpWire.h"
#include "Net.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailring {

class Http1Connection;

/// \brief One request and its response. Used on the connection's strand only, except pendingBytes.
class Http1ServerExchange
{
public:
    Http1ServerExchange(std::weak_ptr<Http1Connection> connection, Strand strand,
                        const ResponseFraming &framing);

    const Strand &strand() const { return m_strand; }
    bool isComplete() const { return m_stage == Stage::Complete; }
    /// \brief True for a response that has begun and whose end is that of the connection.
    bool endsWithConnection() const { return m_endsWithConnection; }

    void respond(HttpResponse response);
    void startStream(int status, const std::vector<HttpHeader> &headers);
    void write(const std::string &chunk);
    void finish();
    void abort();
    void setDisconnectHook(std::function<void()> hook);
    /// \brief Responds with 500, or aborts a started stream, if the response is not complete.
    void onResponderDestroyed();

    /// \brief Called when the connection is lost; runs the disconnect hook if the response is not
    /// complete.
    void onDisconnected();
    /// \brief Destroys the disconnect hook without running it.
    void dropHook();

    /// \brief Payload bytes accepted from the responder and not yet written.
    std::atomic<std::size_t> pendingBytes = 0;

private:
    enum class Stage { Waiting, Streaming, Complete, Disconnected };

    void updateKeepAlive(const Http1Connection &connection);
    void complete(std::string_view bytes, std::size_t payloadBytes);
    void enterStage(Stage stage);

    const std::weak_ptr<Http1Connection> m_connection;
    const Strand m_strand;
    ResponseFraming m_framing;
    Stage m_stage = Stage::Waiting;
    bool m_endsWithConnection = false;
    std::function<void()> m_disconnectHook;
};

} // namespace foxtailring
