#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Number of this start of a process: unique, and higher than that of an earlier start.
///
/// Backend servers that check fencing tokens receive it, so it must grow; the low bits are random
/// for two processes that start in the same millisecond.
std::uint64_t startIncarnation();

} // namespace foxtailring
