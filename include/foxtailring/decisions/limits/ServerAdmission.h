#pragma once

#include "foxtailring/base/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

class BackendTable;
class RateLimitTable;
class ServerPauses;
struct BackendAnswer;
struct BackendInfo;
struct RateLimitExplanation;

/// \brief Whether a request may be sent to a backend server now: neither a pause that it asked for
/// nor its rate limit forbids it.
///
/// Everything that this process sends to a server takes its request here: attempts, resumes, probes
/// and orders for copies. Not thread-safe; used on one queue.
class ServerAdmission
{
public:
    /// \param servers must outlive the object, as must \a limits and \a pauses
    ServerAdmission(const BackendTable &servers, RateLimitTable &limits, ServerPauses &pauses);

    /// \brief An answer of the server itself to an attempt arrived.
    /// \param server as it was when the request was sent
    /// \param sentAt when the request that it answers was sent
    void recordAnswer(const BackendInfo &server, const BackendAnswer &answer, TimePoint sentAt,
                      TimePoint now);

    /// \brief Takes one request to the server. False if none is free; it must not be sent.
    bool tryAcquire(std::string_view serverId, TimePoint now);
    /// \brief True if the server names a rate limit or asked for a pause: it gets no request beside
    /// those that callers need.
    bool isRestricted(std::string_view serverId, TimePoint now) const;
    bool isPaused(std::string_view serverId, TimePoint now) const;
    std::vector<std::string> pausedIds(TimePoint now) const;
    /// \brief Servers that are passed over while others can take the request.
    std::vector<std::string> returningIds(TimePoint now) const;
    /// \brief Earliest time at which tryAcquire() may succeed, as far as this process can tell.
    TimePoint freeAt(std::string_view serverId, TimePoint now);

    /// \brief The share of the rate limit of this process; none if the server names no limit.
    std::optional<RateLimitExplanation> explainLimit(std::string_view serverId, TimePoint now);

private:
    const BackendTable &m_servers;
    RateLimitTable &m_limits;
    ServerPauses &m_pauses;
};

} // namespace foxtailring
