#pragma once

#include <chrono>
#include <cstddef>
#include <functional>

namespace foxtailring {

struct Endpoint;

/// \brief Returns how long a connection to an endpoint that has become idle is kept; 0: it is
/// closed.
///
/// Gets the number of other idle connections to the endpoint. Runs on any worker thread, never
/// concurrently with itself for one client, and must not call the client.
using KeepIdleHook =
    std::function<std::chrono::milliseconds(const Endpoint &, std::size_t idleCount)>;

} // namespace foxtailring
