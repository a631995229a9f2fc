#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/protocol/HttpHeader.h"
#include "Wait.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace foxtailring::harness {

/// \brief Complete response.
struct HttpReply
{
    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;

    /// \brief Value of header \a name, compared without case; empty when it is missing.
    std::string header(const std::string &name) const;
};

/// \brief HTTP request for the test clients.
struct HttpCall
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers;
    std::string body;
};

/// \brief Blocking HTTP/1.1 client for one port of 127.0.0.1. Opens a connection for each request.
class HttpClient
{
public:
    explicit HttpClient(std::uint16_t port);

    /// \brief Sends \a call and returns the response. Fails with Unavailable when it cannot
    /// connect, Closed when the connection ends before the response is complete, and Timeout.
    Result<HttpReply> send(const HttpCall &call,
                           std::chrono::milliseconds timeout = defaultTimeout) const;

    /// \brief JSON body of a response with status 200. Throws std::runtime_error on any other
    /// outcome.
    nlohmann::json get(const std::string &target) const;
    nlohmann::json post(const std::string &target, const nlohmann::json &body) const;

private:
    nlohmann::json json(const HttpCall &call) const;

    std::uint16_t m_port;
};

} // namespace foxtailring::harness
