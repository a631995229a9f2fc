#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/RateLimitReport.h"
#include "foxtailring/store/WriteResult.h"
#include "foxtailring/transport/Timer.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

class KeyValueClient;
struct Error;
struct GatewayParts;

/// \brief Keeps this gateway's report of rate limits in the store, under a lease.
///
/// Writes nothing until a server names a limit. Runs on the gateway's queue.
class RateLimitPublisher
{
public:
    /// \param parts and \a client must live as long as the publisher
    RateLimitPublisher(GatewayParts &parts, KeyValueClient &client);

    void start();
    void stop();

private:
    void step();
    void forgetEndedLease(TimePoint now);
    void grantLease();
    void renewLease();
    void publish(const RateLimitReport &report);
    void onWritten(const WriteResult &result);
    void onFailed(std::string_view call, const Error &error);

    GatewayParts &m_parts;
    KeyValueClient &m_client;
    const std::string m_key;
    Timer m_timer;
    bool m_isCalling = false;    ///< a call to the store is in progress
    std::int64_t m_lease = 0;    ///< 0: none
    std::int64_t m_revision = 0; ///< of the key, as far as known; 0: it does not exist
    TimePoint m_leaseRenewedAt;
    TimePoint m_pausedUntil; ///< after a failed call
};

} // namespace foxtailring
