#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Load that a backend server told with an answer.
struct BackendLoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

} // namespace foxtailring
