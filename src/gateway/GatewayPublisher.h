#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/rollouts/Rollouts.h"
#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/Timer.h"

#include "CrashProber.h"
#include "LeasedKey.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

struct Error;
struct GatewayParts;
struct CrashReport;
struct RateLimitReport;
struct SpeedReport;

/// \brief Keeps this gateway's keys in the store, under one lease: the one by which the others
/// count it, and its reports of rate limits, of crashes and of the speed of engines.
///
/// Writes no report before there is something to tell. One call at a time; runs on the gateway's
/// queue.
class GatewayPublisher
{
public:
    /// \param parts and \a client must live as long as the publisher
    GatewayPublisher(GatewayParts &parts, KeyValueClient &client);

    void start();
    void stop();
    /// \brief The store was restored from a backup: writes this gateway's keys again, after a
    /// random delay. On the queue.
    void onStoreRestored();

private:
    void step();
    bool isListingDue(TimePoint now);
    bool isDemandDue();
    bool isEpochDue(TimePoint now);
    std::optional<Rollouts::Witnesses> takeDueWitnesses(TimePoint now);
    void forgetEndedLease(TimePoint now);
    void forgetKeys();
    void grantLease();
    void renewLease();
    void enlist();
    void publish(const RateLimitReport &report);
    void publish(const CrashReport &report);
    void publish(const Rollouts::Witnesses &witnesses);
    std::optional<SpeedReport> takeDueSpeeds(TimePoint now);
    void publish(const SpeedReport &report);
    void write(LeasedKey &key, const std::string &value, const KeyValueClient::WriteHook &hook);
    void recordWritten(LeasedKey &key, StoreLease lease, const WriteResult &result);
    void onReportWritten(const WriteResult &result);
    void onCrashReportWritten(const WriteResult &result);
    void onFailed(std::string_view call, const Error &error);
    std::chrono::milliseconds randomDelay(std::chrono::milliseconds bound);

    GatewayParts &m_parts;
    KeyValueClient &m_client;
    LeasedKey m_listing;
    std::optional<int> m_demand;               ///< to be listed
    std::optional<std::int64_t> m_listedEpoch; ///< settled one in the listing
    std::optional<std::int64_t> m_epochToList; ///< settled one whose delay has begun
    TimePoint m_listEpochAt;                   ///< end of that delay
    LeasedKey m_report;
    LeasedKey m_crashReport;
    LeasedKey m_witnesses; ///< of roll-outs
    LeasedKey m_speeds;    ///< of engines
    CrashProber m_crashProber;
    Timer m_timer;
    bool m_isCalling = false; ///< a call to the store is in progress
    StoreLease m_lease;       ///< id 0: none
    TimePoint m_leaseRenewedAt;
    TimePoint m_enlistAt;    ///< earliest time of the first call, without a report
    TimePoint m_pausedUntil; ///< after a failed call
    std::chrono::milliseconds m_failurePause;
};

} // namespace foxtailring
