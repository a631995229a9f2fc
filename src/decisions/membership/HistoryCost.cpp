#include "foxtailring/decisions/membership/HistoryCost.h"

#include <algorithm>
#include <map>

namespace foxtailring {

namespace {

// Less than that is not worth another read.
constexpr std::size_t minBytes = std::size_t(64) * 1024;
// A key that is written again so soon after the state was read will be written again and again.
constexpr std::chrono::seconds stormInterval {2};

struct Versions
{
    std::size_t bytes = 0;  ///< of all versions
    std::size_t newest = 0; ///< bytes of the last one
};

} // namespace

void HistoryCost::recordState(std::size_t bytes, TimePoint now)
{
    m_stateBytes = bytes;
    m_stateReadAt = now;
    m_answerBytes = 0;
}

bool HistoryCost::recordChanges(std::span<const Change> changes, TimePoint now)
{
    std::map<std::string_view, Versions> versionsByKey;
    m_answerBytes = 0;
    for (const Change &change : changes) {
        Versions &versions = versionsByKey[change.key];
        versions.bytes += change.bytes;
        versions.newest = change.bytes;
        m_answerBytes += change.bytes;
    }
    const bool hasStormKey = versionsByKey.contains(m_stormKey);
    if (isInStorm() && hasStormKey && now - m_stateReadAt <= stormInterval)
        return true;
    m_stormKey.clear();
    std::size_t replaced = 0;
    std::size_t most = 0;
    for (const auto &[key, versions] : versionsByKey) {
        const std::size_t bytes = versions.bytes - versions.newest;
        replaced += bytes;
        if (bytes > most)
            m_stormKey = key;
        most = std::max(most, bytes);
    }
    if (replaced > std::max(minBytes, m_stateBytes))
        return true;
    m_stormKey.clear();
    return false;
}

// One answer tells how much there is at least. The rest of the history holds about as much again,
// so a state of up to four such answers is cheaper or no dearer, and is surely the newest.
bool HistoryCost::isStateCheaperWhenBehind() const
{
    return m_answerBytes >= std::max(minBytes, m_stateBytes / 4);
}

} // namespace foxtailring
