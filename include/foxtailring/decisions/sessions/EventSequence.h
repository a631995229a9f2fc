#pragma once

#include <cstdint>
#include <optional>

namespace foxtailring {

/// \brief Order of the events of one stream, over all attempts: which of them repeat, and whether
/// some are missing before one.
///
/// Ids increase, by any amount. A step larger than all before counts as a gap until a second server
/// names the same next event.
class EventSequence
{
public:
    /// \param lastId the last event that the caller had before; none: the stream is new
    explicit EventSequence(std::optional<std::int64_t> lastId);

    /// \brief The last event passed on.
    std::optional<std::int64_t> lastId() const { return m_lastId; }
    /// \brief True if the caller has the event.
    bool isRepeated(std::int64_t id) const { return m_lastId && id <= *m_lastId; }
    /// \brief True if events before the event \a id seem to be missing.
    bool isBeyondGap(std::int64_t id) const;
    /// \brief The attempt that sent the event \a id beyond a gap is ended.
    void recordGap(std::int64_t id) { m_doubtedId = id; }
    /// \brief The event is passed on.
    /// \param isFirst the event is the first one of its attempt that the caller lacks
    void record(std::int64_t id, bool isFirst);

private:
    std::optional<std::int64_t> m_lastId;
    /// Between the ids of events in a row; none: unknown.
    std::optional<std::uint64_t> m_step;
    bool m_isStepSeen = false; ///< false: m_step is the distance of the first id from 0
    bool m_isRegular = true;   ///< all steps seen were equal
    std::optional<std::int64_t> m_doubtedId; ///< named by an attempt as the event after m_lastId
};

} // namespace foxtailring
