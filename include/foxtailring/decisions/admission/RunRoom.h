#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendLoadReport.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct BackendState;

/// \brief Room for runs at engines, as one process knows it: from their reports, and from its own
/// runs and copies that no report shows yet. Not thread-safe.
///
/// An engine that takes more runs than its memory holds preempts some, whose prompts it then
/// processes again. So past its room it serves less the more it is given.
class RunRoom
{
public:
    /// \brief What a run would find at an engine.
    struct Finding
    {
        bool isKnown = false;           ///< the engine reports its memory
        double memoryShare = 0;         ///< in use or about to be, without the run; about 0 to 1
        bool hasSlot = true;            ///< and memory for the whole run
        std::uint32_t promptsAhead = 0; ///< that wait or are processed
    };

    /// \brief An engine reported its load.
    void recordReport(std::string_view service, const BackendLoadReport &load);
    /// \brief A run or a copy of \a tokens was placed at the engine.
    void recordPlaced(std::string_view serverId, std::uint64_t tokens, TimePoint now);
    /// \brief A run got its first event.
    /// \param promptsAhead that the engine had to process before, as was known when it was placed
    void recordFirstEvent(std::string_view service, std::uint64_t promptTokens,
                          std::uint32_t promptsAhead, Duration delay);

    /// \brief A run of \a tokens was sent to an engine of the service.
    void recordRun(std::string_view service, std::uint64_t tokens);
    /// \brief What a run of the service would find at \a server.
    /// \param load its report, received \a loadAge ago
    Finding find(const BackendState &server, const BackendLoadReport &load, Duration loadAge,
                 std::uint64_t promptTokens, std::uint64_t tokens, TimePoint now) const;
    /// \brief Prompts that wait or are processed at the server, with those of this process that its
    /// report does not show.
    std::uint32_t promptsAhead(std::string_view serverId, const BackendLoadReport &load,
                               Duration loadAge, TimePoint now) const;
    /// \brief False if a copy at \a holder would take room that runs need.
    bool mayCopyTo(const BackendState &holder, std::uint64_t tokens, TimePoint now) const;
    /// \brief Expected time that an engine of the service takes for the prompt.
    Duration promptTime(std::string_view service, std::uint64_t promptTokens) const;
    /// \brief Expected time that an engine of the service takes for a prompt of usual size.
    Duration usualPromptTime(std::string_view service) const;
    /// \brief Mean memory in use at the engines of the service that reported lately, 0 to 1.
    double meanMemoryShare(std::string_view service) const;
    /// \brief Fraction of an engine's memory that a run of usual size takes in the end.
    double usualMemoryShare(std::string_view service) const;

private:
    struct Placement
    {
        TimePoint at;
        std::uint64_t tokens = 0;
    };
    struct Service
    {
        double memoryShare = 0;         ///< in use, moving average over reports
        std::uint64_t memoryTokens = 0; ///< of an engine
        double runTokens = 0;           ///< moving average
        double promptTokens = 0;        ///< moving average
        double secondsPerToken = 0;     ///< of a prompt, moving average; 0: unknown
    };
    struct Unreported
    {
        std::uint32_t count = 0;
        std::uint64_t tokens = 0;
    };

    Unreported unreported(std::string_view serverId, Duration loadAge, TimePoint now) const;
    void expire(TimePoint now);

    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, std::vector<Placement>, std::less<>> m_placements; ///< by server
    TimePoint m_expireAt;
};

} // namespace foxtailring
