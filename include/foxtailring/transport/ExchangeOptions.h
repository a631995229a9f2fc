#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring {

/// \brief Connection settings and limits of one HTTP/1.1 exchange.
struct ExchangeOptions
{
    std::chrono::milliseconds connectTimeout {1000};
    /// A kept-alive connection is reused only if it has been idle for less than this. 0: use a new
    /// connection and close it after the exchange.
    std::chrono::milliseconds maxIdleTime {0};
    /// The connection is closed when sent bytes stay unacknowledged for this long
    /// (TCP_USER_TIMEOUT). 0: the default of the system.
    std::chrono::milliseconds unacknowledgedTimeout {0};
    /// The exchange times out if no byte of the response has arrived by then. 0: unlimited.
    std::chrono::milliseconds firstByteTimeout {0};
    /// Once bytes have arrived, the exchange times out this long after the last one. 0: unlimited.
    std::chrono::milliseconds maxSilence {0};
    /// A larger body fails Http1Client::request(); streamed responses are not limited.
    std::size_t maxBodyBytes = std::size_t(64) * 1024 * 1024;

    /// \brief Options that reuse any connection in the client's pool, however long it was idle.
    static ExchangeOptions pooled()
    {
        ExchangeOptions options;
        options.maxIdleTime = std::chrono::hours(1);
        return options;
    }
};

} // namespace foxtailring
