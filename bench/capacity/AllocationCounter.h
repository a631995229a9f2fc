#pragma once

#include <cstddef>

namespace foxtailring::bench {

/// \brief Bytes of the heap in use by this process, as the allocator rounds them.
std::size_t allocatedBytes();

} // namespace foxtailring::bench
