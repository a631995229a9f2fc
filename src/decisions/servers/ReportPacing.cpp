#include "foxtailring/decisions/servers/ReportPacing.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Three quarters of the 8 KB/s for control traffic; the rest is for configuration and membership.
constexpr std::size_t budgetBytesPerSecond = 6000;
// About 150 bytes of report, plus the HTTP/2 frame header and the TCP/IP headers of data and ACK.
constexpr std::size_t reportWireBytes = 260;

} // namespace

std::chrono::milliseconds reportInterval(std::size_t serverCount,
                                         std::chrono::milliseconds minInterval)
{
    const std::size_t milliseconds = serverCount * reportWireBytes * 1000 / budgetBytesPerSecond;
    return std::max(minInterval, std::chrono::milliseconds(milliseconds));
}

} // namespace foxtailring
