#include "foxtailring/decisions/StreamSession.h"

#include "foxtailring/decisions/BackendPlacer.h"
#include "foxtailring/decisions/BackendTable.h"
#include "foxtailring/decisions/EngineRhythm.h"
#include "foxtailring/decisions/RetryBudget.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// A stream is silent after this many of its usual intervals, within the two limits below.
constexpr int silentIntervals = 5;
// A prompt that is read beside a stream makes its events several times slower.
constexpr milliseconds leastSilence {300};
// Part of the allowed pause after which silence is acted on: the rest is left for going on.
constexpr double pausePart = 0.5;
// Allowed pause of a route that states none.
constexpr milliseconds assumedEventGap {1000};
// Weight of the latest interval in the mean.
constexpr int intervalWeight = 8;
// A run that goes on from its copy reads only what the copy lacks, but waits for prompts beside it.
constexpr milliseconds resumeLimit {1500};
// While a prompt is read nothing arrives, so what others saw of the server is looked at this often.
constexpr milliseconds promptCheck {100};
// A server beside others that just failed is given up when it shows no sign of life for this long.
constexpr milliseconds doubtfulSilence {350};

} // namespace

StreamSession::StreamSession(const HttpRoute &route, const ForwardRequest &request,
                             const ForwardContext &context, bool keepsCopies)
    : ForwardSession(route, request, context)
    , m_keepsCopies(keepsCopies && route.isResumable)
    , m_lastEventId(request.lastEventId)
{
}

StreamSession::~StreamSession()
{
    dropCopy();
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
    m_hasEvents = true;
    m_hasBegun = true;
    m_lastEventId = id;
    m_lastEventAt = now;
    return EventVerdict::Next;
}

ForwardAction StreamSession::finished(TimePoint now)
{
    if (hasServer())
        context().servers.answered(server().info.id, false, now);
    leaveServer();
    dropCopy();
    return KeepWaiting {};
}

ForwardAction StreamSession::attempt(std::string_view cause, TimePoint now)
{
    auto next = fromCopy(now);
    if (!next)
        next = anew(now);
    if (!next)
        return giveUp(refuse(503, "noServer"));
    next->cause = cause;
    next->lastEventId = m_lastEventId;
    m_isResumed = next->resumesFromCopy;
    m_hasEvents = false;
    m_nextLook = now + promptCheck;
    placeCopy(*next, now);
    return send(std::move(*next), now);
}

// The copy is used once; the server that keeps it has to be sound.
std::optional<SendAttempt> StreamSession::fromCopy(TimePoint now)
{
    if (!m_copy)
        return std::nullopt;
    const std::string id = m_copy->info.id;
    dropCopy();
    auto present = context().servers.server(id, now);
    // The copy begins with the output: a prompt that is being read has none.
    const bool isUsable = present && present->trust != BackendTrust::Suspected && m_hasEvents;
    if (!isUsable)
        return std::nullopt;
    SendAttempt attempt;
    attempt.server = std::move(*present);
    attempt.resumesFromCopy = true;
    return attempt;
}

std::optional<SendAttempt> StreamSession::anew(TimePoint now)
{
    PlacementRequest placement;
    placement.service = service();
    placement.exclude = tried();
    placement.memoryTokens = request().promptTokens + request().outputTokens;
    auto chosen = context().placer.forRun(placement, now, context().random);
    if (!chosen)
        return std::nullopt;
    SendAttempt attempt;
    attempt.server = std::move(*chosen);
    return attempt;
}

void StreamSession::placeCopy(SendAttempt &attempt, TimePoint now)
{
    if (!m_keepsCopies)
        return;
    std::vector<std::string> exclude = tried();
    exclude.push_back(attempt.server.info.id);
    PlacementRequest placement;
    placement.service = service();
    placement.exclude = exclude;
    placement.avoidZone = attempt.server.info.availabilityZone;
    placement.memoryTokens = request().promptTokens + request().outputTokens;
    m_copy = context().placer.forCopy(placement, now, context().random);
    if (m_copy)
        context().servers.startCopy(m_copy->info.id);
    attempt.copyTo = m_copy;
}

void StreamSession::dropCopy()
{
    if (!m_copy)
        return;
    context().servers.endCopy(m_copy->info.id);
    m_copy.reset();
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
    dropCopy();
}

ForwardAction StreamSession::overdue(TimePoint now)
{
    if (now >= silentAt() || isAbandoned(now))
        return ended(AttemptResult::Silent, now);
    m_nextLook = now + promptCheck;
    return KeepWaiting {};
}

// The servers around it failed, and it has not been heard of since.
bool StreamSession::isAbandoned(TimePoint now) const
{
    const auto present = context().servers.server(server().info.id, now);
    const bool isInDoubt = present && present->trust != BackendTrust::Sound;
    return isInDoubt && !m_hasEvents && now - sentAt() >= doubtfulSilence;
}

TimePoint StreamSession::overdueAt() const
{
    if (!route().mayRepeat())
        return deadline();
    return m_hasEvents ? silentAt() : std::min(silentAt(), m_nextLook);
}

TimePoint StreamSession::silentAt() const
{
    if (m_hasEvents)
        return m_lastEventAt + eventLimit();
    if (m_isResumed)
        return sentAt() + resumeLimit;
    return sentAt() + context().rhythm.usualFirstEvent(service(), request().promptTokens);
}

Duration StreamSession::eventLimit() const
{
    const milliseconds gap = route().eventGap.count() > 0 ? route().eventGap : assumedEventGap;
    const auto most = std::chrono::duration_cast<Duration>(gap * pausePart);
    const Duration usual = silentIntervals * m_meanInterval;
    return std::clamp<Duration>(usual, leastSilence, std::max<Duration>(most, leastSilence));
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
