#pragma once

#include "foxtailring/decisions/generation/GenerationSession.h"
#include "foxtailring/decisions/placement/RouteChoice.h"
#include "foxtailring/protocol/Ack.h"
#include "foxtailring/protocol/ResumeToken.h"
#include "foxtailring/transport/Timer.h"

#include "foxtailring/transport/SerialQueue.h"
#include "GenerationJob.h"
#include "LinkStream.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace foxtailring {

class AdmissionPass;
class AnswerWriter;
class Http1Responder;
class SidecarLink;
struct EntryParts;
struct Frame;

/// \brief Runs one generation: feeds its session with events and carries out the actions.
///
/// Thread-safe. Everything happens on its queue; the generation table keeps it alive to its end.
class GenerationRunner : public std::enable_shared_from_this<GenerationRunner>
{
public:
    GenerationRunner(EntryParts &parts, GenerationJob job, std::unique_ptr<AnswerWriter> writer,
                     std::shared_ptr<Http1Responder> responder);
    ~GenerationRunner();

    /// \brief Starts a new generation.
    void start(std::shared_ptr<AdmissionPass> pass);
    /// \brief Goes on with an attempt that is in the journal of the sidecar at \a address.
    void attach(std::string address, std::uint32_t attempt);
    /// \brief Asks the caller to come back through another entry.
    void handOver();

private:
    using Event = std::function<GenerationActions(TimePoint)>;

    /// Runs an event of the session and its actions on the queue.
    void post(Event event);
    void begin();
    void perform(const GenerationActions &actions);
    void perform(const GenerationAction::ChooseServer &action);
    void perform(const GenerationAction::Start &action);
    void perform(const GenerationAction::Attach &action);
    void perform(const GenerationAction::Cancel &action);
    void perform(const GenerationAction::Ack &action);
    void perform(const GenerationAction::Emit &action);
    void perform(const GenerationAction::Complete &action);
    void perform(const GenerationAction::Fail &action);
    void perform(const GenerationAction::Detach &action);
    void perform(const GenerationAction::ScheduleTick &action);

    void openStream(const std::string &server, std::string_view path, std::uint32_t attempt,
                    const std::string &firstFrame, bool newConnection);
    void frameArrived(Frame frame);
    void streamClosed(std::uint64_t stream, std::uint32_t attempt, const Error &error);
    void retry(const std::set<std::string> &excluded);
    void waitForResume(const std::set<std::string> &excluded);
    void chooseResume(const std::set<std::string> &excluded);
    void offer(Result<RouteChoice> choice);
    /// Counts this work at the server chosen last, if any, and no longer at the one before.
    void countWork();
    ResumeToken position(std::uint64_t nextOffset) const;
    void noteInterruption();
    void end();
    void releaseJournal();
    void waitForReturn(std::chrono::milliseconds delay);
    void deliveryTimePassed();
    void sendFinalAck();
    void leaveTable();
    void countDropped();

    EntryParts &m_parts;
    const GenerationJob m_job;
    std::unique_ptr<AnswerWriter> m_writer;
    std::shared_ptr<Http1Responder> m_responder;
    SerialQueue m_queue;
    Timer m_timer;

    // On the queue.
    GenerationSession m_session;
    std::shared_ptr<AdmissionPass> m_pass;
    std::shared_ptr<SidecarLink> m_link;
    LinkStream m_stream;
    std::uint64_t m_streamNumber = 0; ///< of m_stream; the end of earlier streams is ignored
    std::string m_serverAddress;      ///< of the current attempt
    std::string m_chosenId;           ///< id of the server chosen last; empty: none
    std::string m_countedId;          ///< id of the server that this work is counted at
    std::string m_resumeTicket;
    std::optional<TimePoint> m_interruptedAt;
    std::optional<Ack> m_finalAck; ///< set when the answer is complete
    bool m_callerGone = false;
    bool m_ended = false;
};

} // namespace foxtailring
