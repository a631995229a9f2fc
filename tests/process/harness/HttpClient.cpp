#include "HttpClient.h"

#include "BeastRequest.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <optional>
#include <stdexcept>

namespace foxtailring::harness {

namespace {

namespace http = boost::beast::http;

HttpReply toReply(const http::response<http::string_body> &response)
{
    HttpReply reply {static_cast<int>(response.result_int()), {}, response.body()};
    for (const auto &field : response)
        reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return reply;
}

} // namespace

TimedConnection::Request beastRequest(const HttpCall &call)
{
    TimedConnection::Request request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, "127.0.0.1");
    for (const HttpHeader &header : call.headers)
        request.set(header.name, header.value);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

std::string HttpReply::header(const std::string &name) const
{
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(header.name, name))
            return header.value;
    }
    return {};
}

HttpClient::HttpClient(std::uint16_t port)
    : m_port(port)
{
}

Result<HttpReply> HttpClient::send(const HttpCall &call, std::chrono::milliseconds timeout) const
{
    const DeadlineTime deadline = std::chrono::steady_clock::now() + timeout;
    TimedConnection connection;
    TimedConnection::Request request = beastRequest(call);
    const Result<Done> sent = connection.send(m_port, request, deadline);
    if (!sent)
        return sent.error();

    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    bool done = false;
    http::async_read(connection.socket, connection.buffer, parser,
                     [&](boost::system::error_code result, std::size_t) {
                         error = result;
                         done = true;
                     });
    if (!connection.runUntil(done, deadline)) {
        connection.close();
        return {ErrorCode::Timeout, call.target + ": no answer before the deadline"};
    }
    if (error)
        return {ErrorCode::Closed, call.target + ": " + error.message()};
    return toReply(parser.get());
}

nlohmann::json HttpClient::get(const std::string &target) const
{
    return json({"GET", target, {}, {}});
}

nlohmann::json HttpClient::post(const std::string &target, const nlohmann::json &body) const
{
    return json({"POST", target, {{"Content-Type", "application/json"}}, body.dump()});
}

nlohmann::json HttpClient::json(const HttpCall &call) const
{
    const Result<HttpReply> reply = send(call);
    if (!reply)
        throw std::runtime_error(reply.error().message);
    if (reply.value().status != 200)
        throw std::runtime_error(call.target + ": status " + std::to_string(reply.value().status)
                                 + ": " + reply.value().body);
    return nlohmann::json::parse(reply.value().body);
}

} // namespace foxtailring::harness
