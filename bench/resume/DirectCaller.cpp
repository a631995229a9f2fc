#include "DirectCaller.h"

#include "Caller.h"
#include "SseStream.h"

#include <stdexcept>

namespace foxtailring::bench {

namespace {

using nlohmann::json;

// A usual time-out of clients for a silent connection.
constexpr std::chrono::milliseconds clientSilence {5000};

// The last event before [DONE] has the usage and no text.
bool hasText(const std::string &data)
{
    const json chunk = json::parse(data);
    for (const json &choice : chunk["choices"]) {
        if (!choice.value("text", "").empty())
            return true;
    }
    return false;
}

} // namespace

DirectCaller::DirectCaller(std::vector<std::uint16_t> ports, harness::CallerOptions options)
    : m_ports(std::move(ports))
    , m_options(std::move(options))
{
}

void DirectCaller::onToken(std::function<void(std::size_t)> hook)
{
    m_onToken = std::move(hook);
}

bool DirectCaller::run()
{
    for (const std::uint16_t port : m_ports) {
        ++m_connections;
        if (tryPort(port))
            return true;
    }
    return false;
}

bool DirectCaller::tryPort(std::uint16_t port)
{
    try {
        harness::SseStream stream(port, harness::Caller::makeRequest(m_options, {}), clientSilence);
        return read(stream);
    } catch (const std::runtime_error &error) {
        m_problem = error.what(); // no connection, or no head of an answer
        return false;
    }
}

bool DirectCaller::read(harness::SseStream &stream)
{
    std::size_t tokens = 0;
    while (const auto event = stream.next(clientSilence)) {
        if (event->data == "[DONE]")
            break;
        if (!event->data.empty() && hasText(event->data) && m_onToken)
            m_onToken(++tokens);
    }
    m_problem = "status " + std::to_string(stream.status()) + ", " + std::to_string(tokens)
        + " tokens " + stream.unparsedText();
    return tokens == m_options.maxTokens;
}

} // namespace foxtailring::bench
