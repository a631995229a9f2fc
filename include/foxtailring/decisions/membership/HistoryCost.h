#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Decides whether a reader of a store goes on with the history of the keys or reads their
/// newest state. Not thread-safe.
///
/// The history holds each version of a value, the state only the last one. A reader that is behind
/// on large values would get further behind with each answer.
class HistoryCost
{
public:
    /// \brief One change of the history.
    struct Change
    {
        std::string_view key;
        std::size_t bytes = 0; ///< of the value
    };

    /// \brief All keys were read.
    /// \param bytes of their values
    void recordState(std::size_t bytes, TimePoint now);
    /// \brief Changes of one answer were read. True: the newest state is to be read next.
    bool recordChanges(std::span<const Change> changes, TimePoint now);
    /// \brief There is more history than the last answer had. True: read the newest state next.
    bool isStateCheaperWhenBehind() const;
    /// \brief True while one key is written so often that the state is read in place of its
    /// history.
    bool isInStorm() const { return !m_stormKey.empty(); }

private:
    std::size_t m_stateBytes = 0;
    std::size_t m_answerBytes = 0; ///< of the last answer with changes
    TimePoint m_stateReadAt;
    std::string m_stormKey; ///< whose versions replaced each other; empty: none
};

} // namespace foxtailring
