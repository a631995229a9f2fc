#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring {

/// \brief How an HTTP/1.1 exchange uses connections.
struct ExchangeOptions
{
    std::chrono::milliseconds connectTimeout {1000};
    /// A kept-alive connection is used again when it has been idle for less; 0: never, and the
    /// connection is closed after the exchange.
    std::chrono::milliseconds maxIdleTime {0};
    /// Unacknowledged bytes for this long end the connection; 0: the system's own limit.
    std::chrono::milliseconds unacknowledgedTimeout {0};
    /// A whole answer with a larger body is an error; a streamed one has no bound here.
    std::size_t maxBodyBytes = std::size_t(64) * 1024 * 1024;

    /// \brief Kept-alive connections as long as they are kept.
    static ExchangeOptions pooled()
    {
        ExchangeOptions options;
        options.maxIdleTime = std::chrono::hours(1);
        return options;
    }
};

} // namespace foxtailring
