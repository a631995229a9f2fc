#include "foxtailring/decisions/StreamSession.h"

#include "foxtailring/decisions/BackendPlacer.h"
#include "foxtailring/decisions/BackendTable.h"
#include "foxtailring/decisions/EngineRhythm.h"
#include "foxtailring/decisions/RetryBudget.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// A server is asked whether it lives after this many of its usual intervals without an event. A
// prompt that is read beside a stream makes its events several times slower.
constexpr int quietIntervals = 4;
constexpr milliseconds leastQuiet {150};
constexpr milliseconds mostQuiet {220};
// While a prompt is read nothing arrives, and the server is asked this often.
constexpr milliseconds promptQuiet {400};
// Two round trips between regions, for a connection and an answer.
constexpr milliseconds askWithin {120};
// A report may be this old, so that a run that has just begun is not in it.
constexpr milliseconds reportLag {1000};
// A server that lives and sends nothing is left after this many allowed pauses: it is stuck.
constexpr int stuckPauses = 3;
// Part of the objective after which a first event is not waited for any more.
constexpr double firstEventPart = 0.65;
// Servers asked for their load before a run is placed, and for how long.
constexpr std::size_t placeChoices = 4;
constexpr milliseconds placeWithin {60};
// Allowed pause of a route that states none.
constexpr milliseconds assumedEventGap {1000};
// Weight of the latest interval in the mean.
constexpr int intervalWeight = 8;
// A run that goes on from its copy reads only what the copy lacks, but waits for prompts beside it.
constexpr milliseconds resumeLimit {1500};
// How often the server that keeps a copy is looked at, and how soon a failed copy is ordered again.
constexpr milliseconds copyCheckInterval {400};
constexpr milliseconds copyRetryPause {1000};
// An output is seldom shorter than this part of what its request allows.
constexpr double leastOutputPart = 0.4;
// Copying a long prompt's memory between zones, behind a few others.
constexpr milliseconds copyWithin {1500};
// A server beside others that just failed is given up when it shows no sign of life for this long.
constexpr milliseconds doubtfulSilence {350};

milliseconds pauseOf(const HttpRoute &route)
{
    return route.eventGap.count() > 0 ? route.eventGap : assumedEventGap;
}

} // namespace

StreamSession::StreamSession(const HttpRoute &route, const ForwardRequest &request,
                             const ForwardContext &context, Engines engines)
    : ForwardSession(route, request, context)
    , m_engines(engines)
    , m_copy(context.servers, context.releaseCopy)
    , m_lastEventId(request.lastEventId)
{
}

EventVerdict StreamSession::event(std::int64_t id, TimePoint now)
{
    // A resumed run may start with events that the caller has already.
    if (m_lastEventId && id <= *m_lastEventId)
        return EventVerdict::Duplicate;
    if (m_lastEventId && id > *m_lastEventId + 1)
        return EventVerdict::Gap;
    if (!m_hasEvents && !m_isResumed)
        context().rhythm.firstEvent(service(), request().promptTokens, now - sentAt());
    if (m_hasEvents) {
        const Duration interval = now - m_lastEventAt;
        const bool isFirst = m_meanInterval == Duration {0};
        m_meanInterval =
            isFirst ? interval : m_meanInterval + (interval - m_meanInterval) / intervalWeight;
    }
    if (hasServer())
        context().servers.heard(server().info.id, now);
    if (!std::exchange(m_hasEvents, true))
        m_firstEventAt = now;
    m_hasBegun = true;
    m_isAsking = false;
    m_heardAt = now;
    m_lastEventId = id;
    m_lastEventAt = now;
    return EventVerdict::Next;
}

ForwardAction StreamSession::finished(TimePoint now)
{
    if (hasServer())
        context().servers.answered(server().info.id, false, now);
    if (m_meanInterval > Duration {0})
        context().rhythm.interval(service(), m_meanInterval);
    leaveServer();
    m_copy.drop();
    return KeepWaiting {};
}

ForwardAction StreamSession::attempt(std::string_view cause, TimePoint now)
{
    m_cause = cause;
    // The copy begins with the output: a prompt that is being read has none.
    auto next = m_hasEvents ? m_copy.take(now) : std::nullopt;
    m_copy.drop();
    if (next)
        return sendRun(std::move(*next), now);
    if (!request().promptId.empty())
        m_homes = context().placer.promptHomes(service(), request().promptId, now);
    const bool isReturning = tried().empty() && request().lastEventId;
    return isReturning && m_engines.canBeAsked && !m_homes.empty() ? findPrompt(now)
                                                                   : askChoices(now);
}

// The process that served the caller before was lost with all that it knew. Its engine has ended
// the run, and keeps the prompt until the memory is needed.
ForwardAction StreamSession::findPrompt(TimePoint now)
{
    AskServers ask;
    ask.subject = AskServers::Subject::Prompt;
    ask.within = placeWithin;
    for (const std::string &id : m_homes) {
        const auto server = context().servers.server(id, now);
        if (server && server->trust == BackendTrust::Sound)
            ask.servers.push_back(*server);
    }
    if (ask.servers.empty())
        return askChoices(now);
    m_isFinding = true;
    m_askedAt = now;
    return ask;
}

ForwardAction StreamSession::promptFound(std::span<const ServerReport> reports, TimePoint now)
{
    m_isFinding = false;
    for (const ServerReport &report : reports) {
        if (!context().servers.isOtherStart(report.serverId, report.startedAtMs))
            context().servers.heard(report.serverId, now);
    }
    const auto holder = std::find_if(reports.begin(), reports.end(),
                                     [](const ServerReport &report) { return report.hasPrompt; });
    const auto server =
        holder == reports.end() ? std::nullopt : context().servers.server(holder->serverId, now);
    if (!server || server->info.isDraining || server->isMisplaced)
        return askChoices(now);
    if (!canEndInTime(0, now))
        return giveUp(refuse(503, "noTimeLeft"));
    SendAttempt next;
    next.server = *server;
    return sendRun(std::move(next), now);
}

// What is read for a run that cannot end in time delays runs that can.
bool StreamSession::canEndInTime(std::uint64_t promptTokens, TimePoint now) const
{
    const auto mostEvents =
        static_cast<double>(request().outputTokens) / std::max(request().tokensPerEvent, 1U);
    const auto events =
        static_cast<std::int64_t>(leastOutputPart * mostEvents) - m_lastEventId.value_or(0);
    return timeLeft(now) >= context().rhythm.leastRun(service(), promptTokens, events);
}

// Other processes place runs on the same servers, so their load is asked for rather than guessed.
ForwardAction StreamSession::askChoices(TimePoint now)
{
    if (!canEndInTime(request().promptTokens, now))
        return giveUp(refuse(503, "noTimeLeft"));
    if (!m_engines.canBeAsked)
        return placeAmong({}, now);
    AskServers ask;
    ask.servers =
        context().placer.runChoices(placement(tried()), placeChoices, now, context().random);
    if (ask.servers.empty())
        return giveUp(refuse(503, "noServer"));
    ask.within = placeWithin;
    m_isPlacing = true;
    m_isAskingKeeper = false;
    m_askedAt = now;
    m_answered.clear();
    for (const BackendState &server : ask.servers)
        m_choices.push_back(server.info.id);
    return ask;
}

ForwardAction StreamSession::placeAmong(std::span<const ServerReport> reports, TimePoint now)
{
    m_isPlacing = false;
    m_answered.clear();
    for (const ServerReport &report : reports)
        m_answered.push_back(report.serverId);
    // One that was asked and did not answer is not chosen as long as there is another.
    std::vector<std::string> exclude = tried();
    std::copy_if(m_choices.begin(), m_choices.end(), std::back_inserter(exclude),
                 [this](const std::string &id) {
                     return std::find(m_answered.begin(), m_answered.end(), id) == m_answered.end();
                 });
    m_choices.clear();
    auto chosen = context().placer.forRun(placement(exclude), now, context().random);
    if (!chosen)
        chosen = context().placer.forRun(placement(tried()), now, context().random);
    if (!chosen)
        return giveUp(refuse(503, "noServer"));
    SendAttempt next;
    next.server = std::move(*chosen);
    return sendRun(std::move(next), now);
}

ForwardAction StreamSession::sendRun(SendAttempt next, TimePoint now)
{
    next.cause = m_cause;
    next.lastEventId = m_lastEventId;
    m_isResumed = next.fromCopy.has_value();
    m_hasEvents = false;
    m_isAsking = false;
    m_isAskingKeeper = false;
    m_isCopying = false;
    m_copyCheckAt = m_engines.canMove ? now + copyCheckInterval : TimePoint::max();
    m_promptsAhead = 0;
    m_heardAt = now;
    placeCopy(next, now);
    return send(std::move(next), now);
}

PlacementRequest StreamSession::placement(std::span<const std::string> exclude) const
{
    PlacementRequest out;
    out.service = service();
    out.exclude = exclude;
    out.answered = m_answered;
    out.homes = m_homes;
    return out;
}

void StreamSession::placeCopy(SendAttempt &attempt, TimePoint now)
{
    attempt.copyTo = copyKeeper(attempt.server, now);
    if (attempt.copyTo)
        m_copy.grow(*attempt.copyTo);
}

std::optional<BackendState> StreamSession::copyKeeper(const BackendState &runner,
                                                      TimePoint now) const
{
    if (!m_engines.keepCopies || !route().isResumable)
        return std::nullopt;
    std::vector<std::string> exclude = tried();
    exclude.push_back(runner.info.id);
    PlacementRequest beside = placement(exclude);
    beside.avoidZone = runner.info.availabilityZone;
    beside.homes = {};
    return context().placer.forCopy(beside, now, context().random);
}

// A run lasts through several losses, and the next one may be that of its own server.
ForwardAction StreamSession::renewCopy(TimePoint now)
{
    m_copyCheckAt = now + copyCheckInterval;
    const bool isUsable = m_copy.isUsable(now);
    if (isUsable && !m_isAsking && !m_isCopying) {
        const auto present = context().servers.server(m_copy.keeper()->info.id, now);
        if (present->hasFailedNeighbour)
            return askKeeper(*present);
    }
    const bool isWanted = m_hasEvents && !m_isCopying && (!isUsable || m_copy.isAgeing(now));
    if (!isWanted)
        return KeepWaiting {};
    const auto keeper = isUsable ? m_copy.keeper() : copyKeeper(server(), now);
    if (!isUsable)
        m_copy.drop();
    if (!keeper)
        return KeepWaiting {};
    m_isCopying = true;
    return CopyRun {server(), *keeper, copyWithin};
}

// Servers of a zone fail together, and the keeper is heard of only when it is asked.
ForwardAction StreamSession::askKeeper(const BackendState &keeper)
{
    AskServers ask;
    ask.servers = {keeper};
    ask.within = askWithin;
    ask.onNewConnections = true;
    m_isAskingKeeper = true;
    return ask;
}

void StreamSession::keeperAsked(std::span<const ServerReport> reports, TimePoint now)
{
    m_isAskingKeeper = false;
    const auto &keeper = m_copy.keeper();
    if (keeper && reports.empty())
        context().servers.failed(keeper->info.id, now);
    if (!m_copy.isUsable(now))
        m_copyCheckAt = now;
}

ForwardAction StreamSession::copied(const CopyRun &order, std::optional<std::string> handle,
                                    TimePoint now)
{
    const bool isPresent = m_isCopying && hasServer() && server().info.id == order.from.info.id;
    if (!isPresent)
        return KeepWaiting {};
    m_isCopying = false;
    if (handle)
        m_copy.place(order.to, {order.from.info.address, std::move(*handle)}, now);
    else
        m_copyCheckAt = now + copyRetryPause;
    return KeepWaiting {};
}

ForwardAction StreamSession::lost(AttemptResult result, TimePoint now)
{
    if (!mayRepeat(now))
        return giveUp(refuse(502, attemptResultName(result)));
    return attempt(attemptResultName(result), now);
}

// A run that did not start has no copy.
void StreamSession::turnedAway()
{
    m_copy.drop();
}

ForwardAction StreamSession::overdue(TimePoint now)
{
    if (now < silentAt())
        return renewCopy(now);
    if (now >= stuckAt() || isAbandoned(now))
        return ended(AttemptResult::Silent, now);
    if (!m_engines.canBeAsked) {
        m_heardAt = now;
        return KeepWaiting {};
    }
    // The answer to a question that is still open decides.
    if (m_isAsking)
        return KeepWaiting {};
    AskServers ask;
    ask.servers = {server()};
    ask.within = askWithin;
    ask.onNewConnections = true;
    m_isAsking = true;
    m_isAskingKeeper = false;
    m_askedAt = now;
    return ask;
}

ForwardAction StreamSession::asked(std::span<const ServerReport> reports, TimePoint now)
{
    if (m_isFinding)
        return promptFound(reports, now);
    ForwardSession::asked(reports, now);
    if (m_isPlacing)
        return placeAmong(reports, now);
    if (m_isAskingKeeper) {
        keeperAsked(reports, now);
        return KeepWaiting {};
    }
    // Something arrived meanwhile, or the attempt has ended.
    if (!m_isAsking || !hasServer())
        return KeepWaiting {};
    m_isAsking = false;
    if (m_heardAt > m_askedAt)
        return KeepWaiting {};
    if (reports.empty() || hasLostConnection(reports.front()))
        return ended(AttemptResult::Silent, now);
    const BackendLoadReport &load = reports.front().load;
    const std::uint32_t prompts = load.reading + load.waiting;
    m_promptsAhead = std::max(m_promptsAhead, std::max(prompts, 1U) - 1);
    m_heardAt = now;
    return KeepWaiting {};
}

// The server made events that did not arrive, has no such run any more, or has started anew.
bool StreamSession::hasLostConnection(const ServerReport &report) const
{
    const auto present = context().servers.server(server().info.id, m_askedAt);
    if (present && present->isMisplaced)
        return true;
    if (!m_hasEvents)
        return false;
    if (report.hasRun)
        return report.eventsMade > m_lastEventId.value_or(0);
    return m_askedAt - m_firstEventAt > reportLag;
}

// The servers around it failed, and it has not been heard of since.
bool StreamSession::isAbandoned(TimePoint now) const
{
    const auto present = context().servers.server(server().info.id, now);
    const bool isInDoubt = present && present->trust != BackendTrust::Sound;
    return isInDoubt && !m_hasEvents && now - m_heardAt >= doubtfulSilence;
}

TimePoint StreamSession::overdueAt() const
{
    return std::min(silentAt(), m_copyCheckAt);
}

TimePoint StreamSession::silentAt() const
{
    if (m_isPlacing || m_isFinding || !route().mayRepeat())
        return deadline();
    if (m_isAsking)
        return std::min(stuckAt(), m_askedAt + 2 * askWithin);
    return std::min(stuckAt(), m_heardAt + quietLimit());
}

Duration StreamSession::quietLimit() const
{
    if (!m_hasEvents)
        return promptQuiet;
    const Duration usual = quietIntervals * m_meanInterval;
    return std::clamp<Duration>(usual, leastQuiet, mostQuiet);
}

TimePoint StreamSession::stuckAt() const
{
    if (m_hasEvents)
        return m_lastEventAt + stuckPauses * pauseOf(route());
    if (m_isResumed)
        return sentAt() + resumeLimit;
    const Duration usual = context().rhythm.usualFirstEvent(service(), request().promptTokens);
    const auto least = std::chrono::duration_cast<Duration>(route().objective * firstEventPart);
    // Prompts are read one after the other; the usual time allows for one before this one.
    return sentAt() + std::max(usual, least) + m_promptsAhead * usual / 2;
}

ForwardAction StreamSession::expired(TimePoint now)
{
    return giveUp(ForwardSession::expired(now));
}

// The caller has part of the answer: only a cut tells that the rest is missing.
ForwardAction StreamSession::giveUp(ForwardAction refusal)
{
    if (!m_hasBegun)
        return refusal;
    return CutAnswer {std::get<Refuse>(refusal).cause};
}

} // namespace foxtailring
