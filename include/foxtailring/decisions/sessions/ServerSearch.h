#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <variant>

namespace foxtailring {

class AdmittedPlacer;
class RunCopier;
class RunPlacement;
struct ForwardRequest;

/// \brief Finds the server for the next attempt of a run: the holder of its copy, an engine that
/// has the prompt of a returning caller in memory, or the candidate with the least load.
///
/// Other processes place runs on the same servers, so servers are probed before one is chosen. One
/// probe is in progress at a time.
class ServerSearch
{
public:
    /// \brief Why no server was found.
    enum class Failure : std::uint8_t {
        NoTime,   ///< the run cannot finish before its deadline
        NoServer, ///< no server takes the run
        NoRoom,   ///< the servers that were asked have no room for it
    };
    /// \brief The probe to carry out next, or the end of the search.
    using Step = std::variant<ProbeServers, SendAttempt, Failure>;
    /// \brief Whether the run can finish in time if it first processes this many tokens of its
    /// prompt.
    using FinishEstimate = std::function<bool(std::uint64_t promptTokens, TimePoint now)>;
    /// \brief Whether the server that sent the report has room for the run.
    using RoomCheck = std::function<bool(const ServerProbeResult &report, TimePoint now)>;

    /// \param canBeProbed the engines report their load and runs; the parameters before it must
    /// outlive the object
    ServerSearch(const ForwardRequest &request, RunPlacement &placement,
                 AdmittedPlacer &admittedPlacer, RunCopier &copier, bool canBeProbed,
                 FinishEstimate canFinish, RoomCheck hasRoom = {});

    /// \brief Starts the search.
    /// \param isMove the server of the current attempt may go on with the run, so the copy holder
    /// is asked before the run is moved there
    Step start(bool isMove, TimePoint now);
    /// \brief Sets how many rounds of candidates later searches probe while none has room.
    void setRounds(int rounds) { m_rounds = rounds; }
    /// \brief The probe of the latest step is over.
    Step onProbed(std::span<const ServerProbeResult> reports, TimePoint now);
    /// \brief Gives the search up.
    void end();
    /// \brief True while a probe is in progress.
    bool isActive() const { return m_probe != Probe::None; }
    /// \brief True if that asks for the prompt.
    bool isProbingPrompt() const { return m_probe == Probe::Prompt; }

private:
    enum class Probe : std::uint8_t { None, CopyHolder, Prompt, Candidates };

    std::optional<SendAttempt> tryResume(TimePoint now);
    Step probeCopyHolder();
    /// Looks for a server that processes the prompt.
    Step placeAnew(TimePoint now);
    Step probePrompt(TimePoint now);
    Step onPromptProbed(std::span<const ServerProbeResult> reports, TimePoint now);
    Step probeCandidates(TimePoint now);
    Step choose(std::span<const ServerProbeResult> reports, TimePoint now);
    void recordFull(std::span<const ServerProbeResult> reports, TimePoint now);

    const ForwardRequest &m_request;
    RunPlacement &m_placement;
    AdmittedPlacer &m_admittedPlacer;
    RunCopier &m_copier;
    const bool m_canBeProbed;
    const FinishEstimate m_canFinish;
    const RoomCheck m_hasRoom; ///< may be empty
    int m_rounds = 2;
    int m_roundsLeft = 0;        ///< of probes of candidates
    Probe m_probe = Probe::None; ///< in progress
};

} // namespace foxtailring
