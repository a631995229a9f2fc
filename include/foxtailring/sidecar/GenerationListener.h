#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/generation/AttemptId.h"
#include "foxtailring/protocol/Phase.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace foxtailring {

class Journal;
class MessageStream;

/// \brief One stream of an entry that follows an attempt; it reads from the journal at its own
/// pace. Thread-safe.
class GenerationListener
{
public:
    GenerationListener(std::shared_ptr<const Journal> journal, AttemptId id,
                       std::shared_ptr<MessageStream> stream, std::uint64_t fromOffset);

    /// \brief Sends what the journal holds beyond the last token sent, and the end.
    void pump(TimePoint now);
    /// \brief Sends Progress after the tokens that are due.
    void progress(Phase phase, TimePoint now);
    /// \brief The entry has every token before \a nextOffset.
    void acknowledged(std::uint64_t nextOffset, TimePoint now);
    /// \brief Tokens were sent and none was acknowledged for \a timeout.
    bool isStuck(TimePoint now, Duration timeout) const;
    void reset();

private:
    bool beginPump();
    bool endPump();
    bool sendNext(TimePoint now);
    bool sendTokens(TimePoint now);

    const std::shared_ptr<const Journal> m_journal;
    const AttemptId m_id;
    const std::shared_ptr<MessageStream> m_stream;

    mutable std::mutex m_mutex; // guards all below; not held while a message is sent
    bool m_pumping = false;     ///< a thread is sending; keeps messages in order
    bool m_again = false;       ///< more may have become due meanwhile
    std::uint64_t m_cursor;     ///< index of the next token to send
    std::uint64_t m_acknowledged;
    TimePoint m_waitingSince; ///< when the entry last acknowledged or had nothing outstanding
    std::optional<Phase> m_progress;
    bool m_ended = false;
};

} // namespace foxtailring
