#include "foxtailring/decisions/admission/RunRoom.h"

#include "foxtailring/decisions/servers/BackendState.h"

#include <algorithm>

namespace foxtailring {

namespace {

using Seconds = std::chrono::duration<double>;

// Engines report values that are some hundred ms old, and a run takes a few ms to arrive.
constexpr std::chrono::milliseconds reportLag {350};
// Older placements are shown by any report that is still used.
constexpr std::chrono::milliseconds maxPlacementAge {2000};
// Older reports say nothing about the room for a copy.
constexpr std::chrono::milliseconds maxLoadAge {1000};
// Weights of the latest value in the moving averages.
constexpr double latestReportWeight = 0.1;
constexpr double latestPromptWeight = 0.3;
// A prompt may have waited for others that no report has shown.
constexpr double latestSlowPromptWeight = 0.03;
constexpr double latestRunWeight = 0.1;
// Of an engine that is slower than most; used until the first run was observed.
constexpr double assumedSecondsPerToken = 0.0002;
// Used until the first run was observed.
constexpr double assumedPromptTokens = 8000;
// An estimate beyond these is due to something other than the prompt.
constexpr double minSecondsPerToken = 1e-6;
constexpr double maxSecondsPerToken = 0.002;
// Of the memory that a prompt in processing needs, half is not yet taken on average.
constexpr double unreadPromptFraction = 0.5;
// Copies take no more than this fraction of an engine's memory together with its runs. A copy saves
// a prompt at a loss of the engine, but in a shortage the memory serves another run.
constexpr double maxCopyMemoryShare = 0.65;
constexpr double maxMeanMemoryShareForCopies = 0.58;

double shareOf(double tokens, std::uint64_t total)
{
    return tokens / static_cast<double>(std::max<std::uint64_t>(total, 1));
}

} // namespace

void RunRoom::recordReport(std::string_view service, const BackendLoadReport &load)
{
    if (load.memoryTotalTokens == 0)
        return;
    Service &known = m_services[std::string(service)];
    known.memoryTokens = load.memoryTotalTokens;
    double &mean = known.memoryShare;
    const double share =
        shareOf(static_cast<double>(load.memoryUsedTokens), load.memoryTotalTokens);
    mean += latestReportWeight * (std::min(share, 1.0) - mean);
}

void RunRoom::recordPlaced(std::string_view serverId, std::uint64_t tokens, TimePoint now)
{
    expire(now);
    m_placements[std::string(serverId)].push_back({now, tokens});
}

void RunRoom::recordFirstEvent(std::string_view service, std::uint64_t promptTokens,
                               std::uint32_t promptsAhead, Duration delay)
{
    if (promptTokens == 0)
        return;
    const double prompts = 1.0 + promptsAhead;
    const double perToken =
        std::clamp(Seconds(delay).count() / prompts / static_cast<double>(promptTokens),
                   minSecondsPerToken, maxSecondsPerToken);
    Service &observed = m_services[std::string(service)];
    const auto size = static_cast<double>(promptTokens);
    double &usualSize = observed.promptTokens;
    usualSize = usualSize == 0 ? size : usualSize + latestRunWeight * (size - usualSize);
    double &known = observed.secondsPerToken;
    const double weight = perToken < known ? latestPromptWeight : latestSlowPromptWeight;
    known = known == 0 ? perToken : known + weight * (perToken - known);
}

void RunRoom::recordRun(std::string_view service, std::uint64_t tokens)
{
    double &known = m_services[std::string(service)].runTokens;
    const auto latest = static_cast<double>(tokens);
    known = known == 0 ? latest : known + latestRunWeight * (latest - known);
}

RunRoom::Finding RunRoom::find(const BackendState &server, const BackendLoadReport &load,
                               Duration loadAge, std::uint64_t promptTokens, std::uint64_t tokens,
                               TimePoint now) const
{
    Finding finding;
    const std::uint32_t ahead = promptsAhead(server.info.id, load, loadAge, now);
    finding.promptsAhead = ahead;
    if (load.memoryTotalTokens == 0)
        return finding;
    finding.isKnown = true;
    const Unreported own = unreported(server.info.id, loadAge, now);
    const double unread = load.waiting + unreadPromptFraction * load.prefilling;
    const double committed = static_cast<double>(load.memoryUsedTokens + own.tokens)
        + unread * static_cast<double>(promptTokens);
    finding.memoryShare = shareOf(committed, load.memoryTotalTokens);
    const std::uint64_t requests = std::uint64_t(load.running) + load.waiting + own.count;
    finding.hasSlot = requests < server.info.slots
        && shareOf(committed + static_cast<double>(tokens), load.memoryTotalTokens) <= 1;
    return finding;
}

std::uint32_t RunRoom::promptsAhead(std::string_view serverId, const BackendLoadReport &load,
                                    Duration loadAge, TimePoint now) const
{
    return load.waiting + load.prefilling + unreported(serverId, loadAge, now).count;
}

bool RunRoom::mayCopyTo(const BackendState &holder, std::uint64_t tokens, TimePoint now) const
{
    if (!holder.load || holder.loadAge >= maxLoadAge || holder.load->memoryTotalTokens == 0)
        return meanMemoryShare(holder.info.service) <= maxMeanMemoryShareForCopies;
    const Unreported own = unreported(holder.info.id, holder.loadAge, now);
    const auto needed = static_cast<double>(holder.load->memoryUsedTokens + own.tokens + tokens);
    return shareOf(needed, holder.load->memoryTotalTokens) <= maxCopyMemoryShare;
}

Duration RunRoom::promptTime(std::string_view service, std::uint64_t promptTokens) const
{
    const auto found = m_services.find(service);
    const bool isKnown = found != m_services.end() && found->second.secondsPerToken > 0;
    const double perToken = isKnown ? found->second.secondsPerToken : assumedSecondsPerToken;
    return std::chrono::duration_cast<Duration>(
        Seconds(perToken * static_cast<double>(promptTokens)));
}

Duration RunRoom::usualPromptTime(std::string_view service) const
{
    const auto found = m_services.find(service);
    const bool isKnown = found != m_services.end() && found->second.promptTokens > 0;
    const double tokens = isKnown ? found->second.promptTokens : assumedPromptTokens;
    return promptTime(service, static_cast<std::uint64_t>(tokens));
}

double RunRoom::meanMemoryShare(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.memoryShare;
}

double RunRoom::usualMemoryShare(std::string_view service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.memoryTokens == 0)
        return 0;
    return std::min(shareOf(found->second.runTokens, found->second.memoryTokens), 1.0);
}

RunRoom::Unreported RunRoom::unreported(std::string_view serverId, Duration loadAge,
                                        TimePoint now) const
{
    Unreported own;
    const auto found = m_placements.find(serverId);
    if (found == m_placements.end())
        return own;
    const TimePoint shownUntil = now - loadAge - reportLag;
    for (const Placement &placement : found->second) {
        if (placement.at <= shownUntil || now - placement.at >= maxPlacementAge)
            continue;
        ++own.count;
        own.tokens += placement.tokens;
    }
    return own;
}

void RunRoom::expire(TimePoint now)
{
    if (now < m_expireAt)
        return;
    m_expireAt = now + maxPlacementAge;
    const auto isShown = [now](const Placement &placement) {
        return now - placement.at >= maxPlacementAge;
    };
    for (auto &[id, placements] : m_placements)
        std::erase_if(placements, isShown);
    std::erase_if(m_placements, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace foxtailring
