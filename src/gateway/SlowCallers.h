#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/UnreadAnswers.h"

#include <cstddef>
#include <functional>
#include <map>

namespace foxtailring {

class MetricRegistry;

/// \brief Ends the streamed answer of the caller that reads most slowly when the memory for
/// requests is used up. Used on the gateway's queue.
class SlowCallers
{
public:
    using Id = UnreadAnswers::Id;

    /// \param metrics kept by reference
    explicit SlowCallers(MetricRegistry &metrics);

    /// \brief An answer has begun. \a giveUp cuts it and gives back its memory; it is called once
    /// at most, before remove().
    Id add(std::function<void()> giveUp);
    void update(Id id, std::size_t takenBytes, std::size_t unreadBytes, TimePoint now);
    void remove(Id id);
    /// \brief Ends the slowest answer. False: none is slow, or it is \a requester, whose own end is
    /// left to the caller of this function.
    bool endSlowest(Id requester);

private:
    MetricRegistry &m_metrics;
    UnreadAnswers m_answers;
    std::map<Id, std::function<void()>> m_hooks;
    Id m_lastId = 0;
};

} // namespace foxtailring
