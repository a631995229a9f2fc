#include "SseStream.h"

#include "BeastRequest.h"

#include <array>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace foxtailring::harness {

namespace http = boost::beast::http;

namespace {

const std::string eventSeparator = "\n\n";

std::string fieldValue(const std::string &line, std::size_t colon)
{
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    return start == std::string::npos ? std::string() : line.substr(start);
}

} // namespace

std::optional<SseEvent> SseEvent::parse(const std::string &text)
{
    SseEvent event;
    bool hasFields = false;
    bool hasData = false;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t colon = line.find(':');
        const std::string name = line.substr(0, colon);
        if (colon == std::string::npos || name.empty())
            continue;
        const std::string value = fieldValue(line, colon);
        hasFields = true;
        if (name == "id")
            event.id = value;
        else if (name == "event")
            event.type = value;
        else if (name == "retry")
            event.retry = value;
        else if (name == "data")
            event.data += (std::exchange(hasData, true) ? "\n" : "") + value;
    }
    return hasFields ? std::optional(event) : std::nullopt;
}

struct SseStream::State
{
    TimedConnection connection;
    http::response_parser<http::buffer_body> parser;
    std::array<char, 16 * 1024> readBuffer {};
    std::string text; // received, not yet parsed as events
    End end = End::Open;
    bool isReading = false;
    bool isReadDone = false;
};

SseStream::SseStream(std::uint16_t port, const HttpCall &call, std::chrono::milliseconds timeout)
    : m_state(std::make_unique<State>())
{
    const DeadlineTime deadline = std::chrono::steady_clock::now() + timeout;
    TimedConnection &connection = m_state->connection;
    TimedConnection::Request request = beastRequest(call);
    const Result<Done> sent = connection.send(port, request, deadline);
    if (!sent)
        throw std::runtime_error(call.target + ": " + sent.error().message);

    // Not boost::none: Boost 1.74 treats it as a limit of 0 when the response has a Content-Length.
    m_state->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::system::error_code error;
    bool done = false;
    http::async_read_header(connection.socket, connection.buffer, m_state->parser,
                            [&](boost::system::error_code result, std::size_t) {
                                error = result;
                                done = true;
                            });
    if (!connection.runUntil(done, deadline)) {
        connection.close();
        throw std::runtime_error(call.target + ": no answer before the deadline");
    }
    if (error)
        throw std::runtime_error(call.target + ": " + error.message());
}

SseStream::~SseStream()
{
    m_state->connection.close();
}

int SseStream::status() const
{
    return static_cast<int>(m_state->parser.get().result_int());
}

std::string SseStream::header(const std::string &name) const
{
    return std::string(m_state->parser.get()[name]);
}

std::optional<SseEvent> SseStream::next(std::chrono::milliseconds timeout)
{
    const DeadlineTime deadline = std::chrono::steady_clock::now() + timeout;
    for (;;) {
        if (auto event = takeEvent())
            return event;
        if (m_state->end != End::Open)
            return std::nullopt;
        startRead();
        if (!m_state->connection.runUntil(m_state->isReadDone, deadline))
            return std::nullopt;
    }
}

SseStream::End SseStream::end() const
{
    return m_state->end;
}

const std::string &SseStream::unparsedText() const
{
    return m_state->text;
}

std::optional<SseEvent> SseStream::takeEvent()
{
    std::string &text = m_state->text;
    for (std::size_t position = text.find(eventSeparator); position != std::string::npos;
         position = text.find(eventSeparator)) {
        const std::string fields = text.substr(0, position);
        text.erase(0, position + eventSeparator.size());
        if (auto event = SseEvent::parse(fields))
            return event;
    }
    return std::nullopt;
}

// After a timeout of next() the previous read is still pending and serves the next call.
void SseStream::startRead()
{
    State &state = *m_state;
    if (state.isReading)
        return;
    if (state.parser.is_done()) {
        state.end = End::Finished;
        state.isReadDone = true;
        return;
    }
    state.isReading = true;
    state.isReadDone = false;
    auto &body = state.parser.get().body();
    body.data = state.readBuffer.data();
    body.size = state.readBuffer.size();
    body.more = true;
    http::async_read_some(state.connection.socket, state.connection.buffer, state.parser,
                          [this](boost::system::error_code error, std::size_t) {
                              onRead(error && error != http::error::need_buffer);
                          });
}

void SseStream::onRead(bool failed)
{
    State &state = *m_state;
    state.isReading = false;
    state.isReadDone = true;
    const std::size_t size = state.readBuffer.size() - state.parser.get().body().size;
    state.text.append(state.readBuffer.data(), size);
    if (failed)
        state.end = End::Broken;
    else if (state.parser.is_done())
        state.end = End::Finished;
}

} // namespace foxtailring::harness
