#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring {

/// \brief Returns the load report interval that an entry requests from each server of its subsets.
///
/// It grows with the number of servers, so that all reports together stay within their part of the
/// entry's control traffic budget of 8 KB/s.
/// \param minInterval interval while there are few servers
std::chrono::milliseconds reportInterval(std::size_t serverCount,
                                         std::chrono::milliseconds minInterval);

} // namespace foxtailring
