#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/placement/PlacementRequest.h"
#include "foxtailring/decisions/servers/BackendState.h"

#include <cstddef>
#include <optional>
#include <string>

namespace foxtailring {

class BackendPlacer;
class RandomSource;
struct ForwardContext;

/// \brief Chooses servers for one request among those to which it may be sent now, by their rate
/// limits, pauses and memory.
class AdmittedPlacer
{
public:
    /// \brief How BackendPlacer chooses a server.
    using Chooser = std::optional<BackendState> (BackendPlacer::*)(const PlacementRequest &,
                                                                   TimePoint, RandomSource &) const;

    /// \param service may change; it and \a context must outlive the placer
    /// \param bodyBytes of the request
    AdmittedPlacer(const ForwardContext &context, const std::string &service,
                   std::size_t bodyBytes = 0);

    /// \brief Takes a request to the server. False if its rate limit or a pause allows none.
    bool tryAcquire(const std::string &serverId, TimePoint now);
    /// \brief Chooses a server to which a request may be sent now, and takes the request.
    std::optional<BackendState> choose(PlacementRequest placement, Chooser chooser, TimePoint now);
    /// \brief True if a server had no free request at the last choice.
    bool isLimited() const { return m_isLimited; }
    /// \brief True if a server had no memory for the request at the last choice.
    bool lacksMemory() const { return m_lacksMemory; }
    /// \brief Time until a server of the service takes a request; 0: now or unknown.
    Duration waitForServer(TimePoint now) const;
    /// \brief True if all servers of the service that are expected to answer asked for a pause.
    bool isServicePaused(TimePoint now) const;

private:
    bool hasMemory(const std::string &serverId, TimePoint now) const;
    std::optional<BackendState> chooseAccepted(PlacementRequest placement, Chooser chooser,
                                               TimePoint now);
    void reportDenied(const std::string &serverId, TimePoint now) const;

    const ForwardContext &m_context;
    const std::string &m_service;
    const std::size_t m_bodyBytes;
    bool m_isLimited = false;
    bool m_lacksMemory = false;
};

} // namespace foxtailring
