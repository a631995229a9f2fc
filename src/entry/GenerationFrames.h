#pragma once

#include "foxtailring/decisions/generation/GenerationAction.h"
#include "foxtailring/protocol/Ack.h"
#include "foxtailring/protocol/Attach.h"
#include "foxtailring/protocol/Cancel.h"
#include "foxtailring/protocol/GenerationRecord.h"
#include "foxtailring/protocol/StartAttempt.h"

#include <cstdint>
#include <string>

namespace foxtailring {

class GenerationSession;
struct Frame;
struct GenerationJob;

/// \brief Messages between a GenerationRunner and a sidecar.
struct GenerationFrames
{
    static StartAttempt start(const GenerationJob &job, const GenerationAction::Start &action,
                              std::int64_t configRevision, Duration timeLeft);
    static Attach attach(const GenerationJob &job, const GenerationAction::Attach &action);
    static Ack ack(const GenerationJob &job, std::uint32_t attempt, std::uint64_t nextOffset,
                   bool final);
    static Cancel cancel(const GenerationJob &job, std::uint32_t attempt,
                         const std::string &reason);
    static GenerationRecord record(const GenerationJob &job, const std::string &address,
                                   std::uint32_t attempt);

    /// \brief Passes a message of the sidecar to the session; others are dropped.
    static GenerationActions event(GenerationSession &session, const Frame &frame, TimePoint now);
};

} // namespace foxtailring
