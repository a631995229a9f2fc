#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendInfo.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct BackendAnswer;
struct ForwardContext;
struct ForwardRequest;

/// \brief Whether one request crashes servers: what of it is quarantined, and which of its servers
/// may have crashed because of it.
class RequestSuspicion
{
public:
    /// \param context must outlive the object
    RequestSuspicion(const ForwardRequest &request, const ForwardContext &context);

    /// \brief The request is new. It may be a trial of a suspect whose quarantine has ended.
    void admit(TimePoint now);
    /// \brief The request may have run, which ends a trial.
    void endTrial() { m_isTrial = false; }
    bool isTrial() const { return m_isTrial; }
    /// \brief What is quarantined of the request; empty: nothing.
    std::string_view quarantinedSuspect(TimePoint now) const;
    /// \brief True if it is known that a server of the request has crashed.
    bool hasCrashedServer() const;

    /// \brief The server was lost, or fell silent, before it had begun to answer.
    void addUncertainServer(const BackendInfo &server);
    /// \brief The server does not answer a probe.
    /// \param silentSince last sign of life of the server
    /// \param sentAt when the attempt was sent
    void recordSilence(const BackendInfo &server, TimePoint silentSince, TimePoint now,
                       TimePoint sentAt) const;
    /// \brief The connection to the server ended before the answer began.
    /// \param isKnownFailure see SuspectedCrashes::recordReset()
    void recordReset(const BackendInfo &server, bool isKnownFailure, TimePoint now) const;
    /// \brief A server began to answer and went on, so that nothing of the request crashes it.
    void recordStart(TimePoint now) const;
    /// \brief A server answered with a whole response.
    void recordWholeAnswer(const BackendAnswer &answer, TimePoint now) const;

private:
    const ForwardContext &m_context;
    const std::string m_contentDigest;         ///< empty: none
    const std::vector<std::string> m_suspects; ///< see RequestQuarantine
    std::vector<BackendInfo> m_uncertainServers;
    bool m_isTrial = false;
};

} // namespace foxtailring
