#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace foxtailring {

/// \brief Chooses whose answer is given up when requests hold all the memory that they may: the one
/// whose caller has read nothing for the longest time.
///
/// Not thread-safe; used on one queue.
class UnreadAnswers
{
public:
    using Id = std::uint64_t;

    /// Answers of which less is unread are not given up, since that would free too little.
    static constexpr std::size_t minUnreadBytes = std::size_t {64} * 1024;

    /// \brief What is known of an answer that goes on.
    /// \param takenBytes that the caller has read so far
    void update(Id id, std::size_t takenBytes, std::size_t unreadBytes, TimePoint now);
    void remove(Id id) { m_answers.erase(id); }
    /// \brief The answer to give up; none: no caller reads slowly enough.
    std::optional<Id> slowest() const;

private:
    struct Answer
    {
        std::size_t takenBytes = 0;
        std::size_t unreadBytes = 0;
        TimePoint takenAt; ///< the caller last read something
    };
    std::map<Id, Answer> m_answers;
};

} // namespace foxtailring
