#pragma once

#include <chrono>

namespace foxtailring {

/// \brief How an HTTP/1.1 exchange uses connections.
struct ExchangeOptions
{
    std::chrono::milliseconds connectTimeout {1000};
    /// A kept-alive connection is used again when it has been idle for less; 0: never, and the
    /// connection is closed after the exchange.
    std::chrono::milliseconds reuseWithin {0};
    /// Unacknowledged bytes for this long end the connection; 0: the system's own limit.
    std::chrono::milliseconds acknowledgeWithin {0};

    /// \brief Kept-alive connections as long as they are kept.
    static ExchangeOptions pooled()
    {
        ExchangeOptions options;
        options.reuseWithin = std::chrono::hours(1);
        return options;
    }
};

} // namespace foxtailring
