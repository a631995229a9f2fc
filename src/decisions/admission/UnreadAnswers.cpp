#include "foxtailring/decisions/admission/UnreadAnswers.h"

#include <tuple>

namespace foxtailring {

void UnreadAnswers::update(Id id, std::size_t takenBytes, std::size_t unreadBytes, TimePoint now)
{
    const auto [entry, isNew] = m_answers.try_emplace(id);
    Answer &answer = entry->second;
    // A caller to which nothing is owed does not read slowly.
    if (isNew || takenBytes > answer.takenBytes || answer.unreadBytes == 0)
        answer.takenAt = now;
    answer.takenBytes = takenBytes;
    answer.unreadBytes = unreadBytes;
}

std::optional<UnreadAnswers::Id> UnreadAnswers::slowest() const
{
    const Answer *chosen = nullptr;
    std::optional<Id> chosenId;
    for (const auto &[id, answer] : m_answers) {
        if (answer.unreadBytes < minUnreadBytes)
            continue;
        // Of two that read nothing, the one that frees more.
        if (!chosen
            || std::tuple(answer.takenAt, chosen->unreadBytes)
                < std::tuple(chosen->takenAt, answer.unreadBytes)) {
            chosen = &answer;
            chosenId = id;
        }
    }
    return chosenId;
}

} // namespace foxtailring
