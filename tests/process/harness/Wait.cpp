#include "Wait.h"

#include <thread>

namespace foxtailring::harness {

namespace {

constexpr std::chrono::milliseconds pollInterval {5};

} // namespace

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace foxtailring::harness
