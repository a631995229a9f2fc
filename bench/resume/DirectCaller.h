#pragma once

#include "CallerOptions.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace foxtailring::harness {
class SseStream;
} // namespace foxtailring::harness

namespace foxtailring::bench {

/// \brief An ordinary client: it streams an answer, and starts again from nothing at the next port
/// when its connection is cut or silent for 5 s.
class DirectCaller
{
public:
    DirectCaller(std::vector<std::uint16_t> ports, harness::CallerOptions options);

    /// \brief Hook that runs for each token, with the number of tokens since the last start.
    void onToken(std::function<void(std::size_t)> hook);
    /// \brief Streams until the answer is whole; false when it is not from any port.
    bool run();
    std::size_t connections() const { return m_connections; }
    /// \brief Why the last connection gave no whole answer.
    const std::string &problem() const { return m_problem; }

private:
    bool tryPort(std::uint16_t port);
    bool read(harness::SseStream &stream);

    std::vector<std::uint16_t> m_ports;
    harness::CallerOptions m_options;
    std::function<void(std::size_t)> m_onToken;
    std::size_t m_connections = 0;
    std::string m_problem;
};

} // namespace foxtailring::bench
