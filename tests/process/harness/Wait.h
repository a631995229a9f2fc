#pragma once

#include <chrono>
#include <functional>

namespace foxtailring::harness {

/// \brief Timeout for events that normally take milliseconds; long enough for a busy machine.
constexpr std::chrono::milliseconds defaultTimeout {30'000};

/// \brief Polls \a condition until it holds; returns false when it does not within \a timeout.
bool waitUntil(const std::function<bool()> &condition,
               std::chrono::milliseconds timeout = defaultTimeout);

} // namespace foxtailring::harness
