#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/rollouts/VersionSide.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace foxtailring {

class Rollout;
class Rollouts;
struct BackendInfo;

/// \brief Which versions the servers of one request may have. Used on the queue of the roll-outs.
class RequestVersions
{
public:
    /// \param rollouts must outlive the object
    explicit RequestVersions(Rollouts &rollouts);
    /// \brief Gives back a credit that was not used.
    ~RequestVersions();
    RequestVersions(const RequestVersions &) = delete;
    RequestVersions &operator=(const RequestVersions &) = delete;

    /// \brief A request on \a route begins, for a server of \a service.
    void begin(std::string_view service, std::string_view route, TimePoint now);
    /// \brief A server is looked for: begins with the versions that come first.
    void startChoice(TimePoint now);
    /// \brief No server was found: goes on with further versions. False if there are none.
    bool widenChoice(TimePoint now);
    /// \brief True if the server may be chosen. Before begin() every server may.
    bool accepts(const BackendInfo &server) const;
    /// \brief True if a copy of a run at \a runServer may be kept at \a holder.
    bool acceptsCopy(const BackendInfo &runServer, const BackendInfo &holder, TimePoint now) const;
    /// \brief True if a run may go on from its copy at \a holder.
    bool acceptsResume(const BackendInfo &holder, TimePoint now) const;
    /// \brief An attempt at the server is sent.
    void recordSent(const BackendInfo &server);

    Rollout *rollout() const { return m_rollout; }

private:
    bool isOfSameOrder() const;

    Rollouts &m_rollouts;
    Rollout *m_rollout = nullptr; ///< null before begin()
    bool m_hasCredit = false;
    bool m_wantsNew = false;
    std::uint64_t m_orderCount = 0; ///< of the roll-out at begin()
    std::size_t m_choice = 0;       ///< position among the sides
    VersionSide m_side = VersionSide::Any;
};

} // namespace foxtailring
