#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace foxtailring::fakes {

class FakeConnection;

/// \brief One HTTP request and its answer, used by the thread of its connection only.
class FakeExchange
{
public:
    explicit FakeExchange(FakeConnection &connection);

    std::string method() const;
    /// \brief Target without the query.
    std::string path() const;
    std::string target() const;
    /// \brief Value of \a name in the query, or \a fallback. Escapes are not decoded.
    std::string query(std::string_view name, std::string_view fallback) const;
    /// \brief Value of header \a name; empty when it is missing.
    std::string header(std::string_view name) const;
    const std::string &body() const;
    /// \brief The body as JSON; an empty body is an empty object. Throws nlohmann::json::exception.
    nlohmann::json json() const;

    void respond(int status, const nlohmann::json &body);
    void respondText(int status, std::string_view contentType, std::string body);

    void startStream(std::string_view contentType);
    /// \brief Sends one chunk; false when the connection is gone.
    bool write(std::string_view chunk);
    void finishStream();

    /// \brief Closes the connection without an answer or a final chunk.
    void close();
    /// \brief True when the peer has closed its end.
    bool peerClosed() const;

private:
    FakeConnection &m_connection;
};

} // namespace foxtailring::fakes
