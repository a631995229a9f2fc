#pragma once

#include <chrono>
#include <functional>

namespace foxtailring::harness {

/// \brief Deadline for events that normally take milliseconds, with room for a busy machine.
constexpr std::chrono::milliseconds defaultTimeout {30'000};

/// \brief Polls \a condition until it holds; false when it does not within \a deadline.
bool waitUntil(const std::function<bool()> &condition,
               std::chrono::milliseconds timeout = defaultTimeout);

} // namespace foxtailring::harness
