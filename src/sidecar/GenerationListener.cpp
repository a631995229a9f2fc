#include "foxtailring/sidecar/GenerationListener.h"

#include "foxtailring/decisions/generation/Journal.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/Progress.h"
#include "foxtailring/protocol/Tokens.h"
#include "foxtailring/sidecar/MessageStream.h"

#include <algorithm>

namespace foxtailring {

namespace {

constexpr std::size_t maxTokensPerMessage = 256;
// A slow connection is not filled further; the rest stays in the journal until it has taken these.
constexpr std::size_t maxPendingBytes = 256 * 1024;

void sendEnd(MessageStream &stream, const AttemptId &id, const AttemptEnd &end)
{
    if (end.finished)
        stream.sendLast(Finished {id.requestId, id.attempt, end.nextOffset, end.reason});
    else
        stream.sendLast(Failed {id.requestId, id.attempt, end.nextOffset, end.code, end.reason});
}

} // namespace

GenerationListener::GenerationListener(std::shared_ptr<const Journal> journal, AttemptId id,
                                       std::shared_ptr<MessageStream> stream,
                                       std::uint64_t fromOffset)
    : m_journal(std::move(journal))
    , m_id(std::move(id))
    , m_stream(std::move(stream))
    , m_cursor(fromOffset)
    , m_acknowledged(fromOffset)
{
}

void GenerationListener::pump(TimePoint now)
{
    if (!beginPump())
        return;
    do {
        while (sendNext(now)) { }
    } while (!endPump());
}

void GenerationListener::progress(Phase phase, TimePoint now)
{
    {
        const std::lock_guard lock(m_mutex);
        m_progress = phase;
    }
    pump(now);
}

// Only one thread sends at a time, so that messages keep their order without a lock being held.
bool GenerationListener::beginPump()
{
    const std::lock_guard lock(m_mutex);
    m_again = m_pumping;
    return !std::exchange(m_pumping, true);
}

bool GenerationListener::endPump()
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_again, false))
        return false;
    m_pumping = false;
    return true;
}

bool GenerationListener::sendNext(TimePoint now)
{
    if (m_stream->pendingBytes() > maxPendingBytes)
        return false;
    if (sendTokens(now))
        return true;
    std::optional<Phase> phase;
    std::uint64_t cursor = 0;
    {
        const std::lock_guard lock(m_mutex);
        phase = m_ended ? std::nullopt : std::exchange(m_progress, std::nullopt);
        cursor = m_cursor;
    }
    if (phase)
        m_stream->send(Progress {m_id.requestId, m_id.attempt, *phase, cursor});
    return phase.has_value();
}

// True when something was sent.
bool GenerationListener::sendTokens(TimePoint now)
{
    JournalSlice slice;
    {
        const std::lock_guard lock(m_mutex);
        if (m_ended)
            return false;
        auto read = m_journal->read(m_id, m_cursor, maxTokensPerMessage);
        if (!read) {
            slice.offset = m_cursor;
            slice.end = AttemptEnd {false, m_cursor, read.error().message, ErrorCode::Incomplete};
        } else {
            slice = std::move(read).value();
        }
        if (m_cursor == m_acknowledged)
            m_waitingSince = now;
        m_cursor = slice.nextOffset();
        m_ended = slice.end.has_value();
    }
    const bool hasTokens = !slice.tokens.empty();
    if (hasTokens)
        m_stream->send(
            Tokens {m_id.requestId, m_id.attempt, slice.offset, std::move(slice.tokens)});
    if (slice.end)
        sendEnd(*m_stream, m_id, *slice.end);
    return hasTokens || slice.end;
}

void GenerationListener::acknowledged(std::uint64_t nextOffset, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_acknowledged = std::max(m_acknowledged, std::min(nextOffset, m_cursor));
    m_waitingSince = now;
}

bool GenerationListener::isStuck(TimePoint now, Duration timeout) const
{
    const std::lock_guard lock(m_mutex);
    return !m_ended && m_cursor > m_acknowledged && now - m_waitingSince >= timeout;
}

void GenerationListener::reset()
{
    m_stream->reset();
}

} // namespace foxtailring
