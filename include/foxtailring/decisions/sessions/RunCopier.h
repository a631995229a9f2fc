#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendState.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/decisions/sessions/RunCopy.h"

#include <optional>
#include <span>
#include <string>

namespace foxtailring {

class AdmittedPlacer;
class RunPlacement;
class RunProgress;
struct ForwardContext;

/// \brief Keeps one run copied at another server: chooses the holder of the copy, orders snapshots
/// and their renewal, and probes a holder that may have failed.
class RunCopier
{
public:
    /// \brief How the engines copy runs.
    struct Methods
    {
        bool isContinuous = false; ///< a run is copied from its start as it proceeds
        bool isOnDemand = false;   ///< a snapshot is made when ordered
    };

    /// \param progress of the run's current attempt; it and the others, but not \a methods, must
    /// outlive the object
    RunCopier(const ForwardContext &context, const RunProgress &progress,
              const RunPlacement &placement, AdmittedPlacer &admittedPlacer, Methods methods);

    /// \brief \a attempt is sent next: drops earlier copies, and names in \a attempt the server
    /// that receives a continuous copy.
    void start(SendAttempt &attempt, TimePoint now);
    /// \brief An earlier attempt goes on in place of the latest one: drops the copy, so that
    /// another one is made soon.
    void restart(TimePoint now);
    /// \brief When check() is due; never if snapshots cannot be ordered.
    TimePoint checkAt() const { return m_checkAt; }
    /// \brief Replaces a lost copy, renews a snapshot before it expires, and probes a holder at
    /// risk.
    /// \param mayProbe false while a probe of \a runServer is in progress
    ForwardAction check(const BackendState &runServer, bool mayProbe, TimePoint now);

    /// \brief True while a probe of the holder is in progress.
    bool isProbing() const { return m_isProbing; }
    /// \brief Another probe takes the place of the one in progress.
    void abandonProbe() { m_isProbing = false; }
    /// \brief The probe of the holder is over.
    void onProbed(std::span<const ServerProbeResult> reports, TimePoint now);
    /// \brief An order to the server of the current attempt is over.
    /// \param handle of the snapshot; none: the order failed
    void onCopied(const CopyRun &copyRun, std::optional<std::string> handle, TimePoint now);
    /// \brief An order that is no longer waited for has made a snapshot.
    void onLateCopy(const CopyRun &copyRun, std::string handle);

    /// \brief True if the run can resume from its copy.
    bool hasUsableCopy(TimePoint now) const;
    /// \brief Server that holds the copy; none: there is no copy.
    const std::optional<BackendState> &holder() const { return m_copy.holder(); }
    /// \brief Returns an attempt that resumes from the copy, which is used up by that; none if the
    /// copy is not usable.
    std::optional<SendAttempt> takeResumeAttempt(TimePoint now);
    void dropCopy() { m_copy.drop(); }
    /// \brief The request is over: releases all copies of the run.
    void end() { m_copy.end(); }

private:
    void assignHolder(SendAttempt &attempt, TimePoint now);
    std::optional<BackendState> chooseHolder(const BackendState &runServer, TimePoint now) const;
    ForwardAction probe(const BackendState &holder);
    ForwardAction order(const BackendState &runServer, const BackendState &holder, TimePoint now);

    const ForwardContext &m_context;
    const RunProgress &m_progress;
    const RunPlacement &m_placement;
    AdmittedPlacer &m_admittedPlacer;
    const Methods m_methods;
    RunCopy m_copy;
    bool m_isProbing = false;
    bool m_isCopying = false; ///< an order to the current server is in progress
    TimePoint m_checkAt = TimePoint::max();
};

} // namespace foxtailring
