#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring {

/// \brief Interval of the load reports that an entry asks of each server.
///
/// It grows with the number of servers followed, so that all reports together stay below the part
/// of an entry's control budget of 8 KB/s that is meant for them.
/// \param minInterval interval while few servers are followed
std::chrono::milliseconds reportInterval(std::size_t followedServers,
                                         std::chrono::milliseconds minInterval);

} // namespace foxtailring
