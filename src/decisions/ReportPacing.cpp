#include "foxtailring/decisions/ReportPacing.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Three quarters of 8 KB/s; the rest is for configuration and membership.
constexpr std::size_t budgetBytesPerSecond = 6000;
// A report of about 150 bytes with its HTTP/2 frame and the TCP/IP headers of data and ACK.
constexpr std::size_t reportWireBytes = 260;

} // namespace

std::chrono::milliseconds reportInterval(std::size_t followedServers,
                                         std::chrono::milliseconds minInterval)
{
    const std::size_t milliseconds =
        followedServers * reportWireBytes * 1000 / budgetBytesPerSecond;
    return std::max(minInterval, std::chrono::milliseconds(milliseconds));
}

} // namespace foxtailring
