#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/decisions/rollouts/ListedVersions.h"
#include "foxtailring/decisions/rollouts/RolloutOrder.h"
#include "foxtailring/decisions/rollouts/RolloutSchedule.h"
#include "foxtailring/decisions/rollouts/RolloutStatus.h"
#include "foxtailring/decisions/rollouts/VersionCredit.h"
#include "foxtailring/decisions/rollouts/VersionEvidence.h"
#include "foxtailring/decisions/rollouts/VersionObserver.h"
#include "foxtailring/decisions/rollouts/VersionSide.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct BackendInfo;
struct RolloutEnvironment;
struct RolloutFleet;

/// \brief The roll-out of one service at one gateway: which versions get requests, and what this
/// gateway writes about it. Without an order it only keeps refused versions from serving. Not
/// thread-safe; used on one queue.
class Rollout
{
public:
    /// \param settings and \a environment must outlive the object
    Rollout(std::string service, const RolloutSettings &settings,
            const RolloutEnvironment &environment);

    /// \brief The store holds this order.
    /// \param isLive it was written just now
    void setOrder(const RolloutOrder &order, StoreRevision revision, bool isLive, TimePoint now);
    /// \brief The store, in \a epoch, holds no order.
    void removeOrder(std::int64_t epoch, TimePoint now);
    void setStatus(const RolloutStatus &status, StoreRevision revision, TimePoint now);
    /// \brief The store, in \a epoch, holds no status.
    void removeStatus(std::int64_t epoch);
    /// \brief The store holds a status that cannot be read.
    void setUnreadableStatus(StoreRevision revision);
    void setWitness(std::string_view gatewayId, VersionWitness witness);
    /// \brief What an earlier process of this gateway had seen. To be called once at the start,
    /// after the order.
    void restoreWitness(const VersionWitness &witness);
    void removeWitness(std::string_view gatewayId);

    /// \brief Merges the evidence and looks for the next step. To be called regularly.
    void step(TimePoint now);
    /// \brief Status that this gateway has to write now, on the revision statusRevision().
    std::optional<RolloutStatus> takeDueStatus(TimePoint now);
    const StoreRevision &statusRevision() const { return m_statusRevision; }
    /// \brief The write failed, or its result is unknown; what the store holds is told by
    /// setStatus().
    void onStatusNotWritten(TimePoint now);
    /// \brief What this gateway has seen; none while no version is on trial.
    std::optional<VersionWitness> witness(TimePoint now) const;

    /// \brief Counts a request on \a route. True if it is to go to the new version first.
    bool takeNew(std::string_view route, TimePoint now);
    void giveBackNew() { m_credit.giveBack(); }
    /// \brief Versions to choose a server from, in this order, for a request.
    /// \param wantsNew as takeNew() returned, unless it was at a server of the new version already
    std::vector<VersionSide> sides(bool wantsNew, TimePoint now);
    bool accepts(const BackendInfo &server, VersionSide side) const;
    /// \brief True if servers of \a version may get requests at all.
    bool isAllowed(std::string_view version) const;
    /// \brief True if runs at servers of \a version may be copied to others of that version.
    bool allowsCopies(std::string_view version, TimePoint now) const;

    /// \brief True if the order names \a version.
    bool isNew(std::string_view version) const { return m_order && version == m_order->version; }
    VersionObserver &observer() { return m_observer; }
    bool hasOrder() const { return m_order.has_value(); }
    /// \brief Number of orders that have begun or ended here.
    std::uint64_t orderCount() const { return m_orderCount; }
    /// \brief True from the order to the end of the roll-out.
    bool isOpen() const
    {
        return m_order && (!m_status || m_status->state == RolloutState::Serving);
    }
    const std::optional<RolloutStatus> &status() const { return m_status; }
    const VersionVerdict &verdict() const { return m_verdict; }
    /// \brief True if this gateway keeps the new version from requests, by its evidence or the
    /// status.
    bool isCondemned() const { return m_isCondemned; }

private:
    enum class Mode : std::uint8_t {
        Free,   ///< no order, or nothing else to serve
        Barred, ///< the new version gets nothing
        Trial,  ///< it gets a few
        Moving,
        Done,
    };

    void begin(bool isTrial, TimePoint now);
    void adoptRevision(StoreRevision revision);
    std::string unprovenVersion() const;
    void refuse(const std::string &version);
    bool isRefused(std::string_view version) const;
    bool isProven(std::string_view version, TimePoint now) const;
    bool answersOrder(const RolloutStatus &status) const;
    bool isOfOrder(const VersionWitness &witness) const;
    /// True if the roll-out was further already.
    bool isBehind(const RolloutStatus &status) const;
    Duration orderAge(const RolloutStatus &status, TimePoint now) const;
    void adopt(const RolloutStatus &status, TimePoint now);
    void keepWithoutOrder(const RolloutStatus &status, TimePoint now);
    void applyShare();
    void updateListed(TimePoint now);
    void updateEvidence(TimePoint now);
    void condemn(const VersionVerdict &verdict, TimePoint now);
    void restoreStored(TimePoint now);
    void updateSampling();
    /// Part of the gateways that take part in a trial.
    double observedShare() const;
    double extraRequests(const RolloutFleet &fleet) const;
    Mode mode(TimePoint now) const;
    bool isInTouch(TimePoint now) const;
    double share() const { return m_status ? m_status->share : 0; }
    bool isServing() const;
    bool isMovedEverywhere() const;
    void updateMoved();
    std::optional<RolloutStatus> nextStatus(TimePoint now) const;
    RolloutStatus makeStatus(RolloutState state, double share, std::string reason,
                             TimePoint now) const;

    const std::string m_service;
    const RolloutSettings &m_settings;
    const RolloutEnvironment &m_environment;
    const RolloutSchedule m_schedule;

    std::optional<RolloutOrder> m_order;
    StoreRevision m_orderRevision;
    TimePoint m_orderedAt;
    std::uint64_t m_orderCount = 0;
    std::optional<TimePoint> m_orderLostAt; ///< missing in a restored store
    bool m_isTrial = true;                  ///< the version has not served before the order
    std::vector<std::string> m_refused;

    bool m_isLive = false; ///< the order was seen when it was written

    std::optional<RolloutStatus> m_stored; ///< in the store
    std::optional<RolloutStatus> m_status; ///< that answers the order
    StoreRevision m_statusRevision;        ///< of the status in the store; number 0: none
    bool m_isStatusStored = false;         ///< the store holds m_status
    TimePoint m_shareSince;
    std::optional<TimePoint> m_lostTouchAt; ///< the latest time without the store
    std::optional<TimePoint> m_dueSince;    ///< of the status that is to be written
    TimePoint m_writeAfter;                 ///< after a failed write
    bool m_isWriting = false;

    bool m_isCondemned = false;
    bool m_hasMoved = false; ///< nothing of this gateway is at an old server, and nothing will be
    VersionVerdict m_verdict;
    std::map<std::string, VersionWitness, std::less<>> m_witnesses; ///< by gateway
    VersionEvidence m_evidence;
    VersionObserver m_observer;
    VersionCredit m_credit;
    bool m_isSampler = false; ///< sends requests to a version on trial
    double m_ownShare = 0;    ///< of the requests of this gateway
    ListedVersions m_listed;
    TimePoint m_listedAt;
};

} // namespace foxtailring
