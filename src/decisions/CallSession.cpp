#include "foxtailring/decisions/CallSession.h"

#include "foxtailring/decisions/BackendPlacer.h"
#include "foxtailring/decisions/BackendTable.h"

namespace foxtailring {

namespace {

// An answer that takes longer than this many times the objective is taken for lost, when the call
// may be repeated: its server works on many others that are answered sooner.
constexpr int lostAfterObjectives = 2;

} // namespace

ForwardAction CallSession::attempt(std::string_view cause, TimePoint now)
{
    PlacementRequest placement;
    placement.service = service();
    placement.exclude = tried();
    auto chosen = context().placer.forCall(placement, now, context().random);
    if (!chosen)
        return refuse(503, "noServer");
    SendAttempt next;
    next.server = std::move(*chosen);
    next.cause = cause;
    return send(std::move(next), now);
}

ForwardAction CallSession::lost(AttemptResult result, TimePoint now)
{
    if (!mayRepeat(now))
        return refuse(502, attemptResultName(result));
    return attempt(attemptResultName(result), now);
}

// The attempt goes on unless there is another server to ask.
ForwardAction CallSession::overdue(TimePoint now)
{
    m_waitsOut = true;
    if (!mayRepeat(now))
        return KeepWaiting {};
    const std::string silent = server().info.id;
    ForwardAction next = attempt("silent", now);
    if (!std::holds_alternative<SendAttempt>(next))
        return KeepWaiting {};
    countRun();
    context().servers.answered(silent, true, now);
    return next;
}

TimePoint CallSession::overdueAt() const
{
    const bool isLast = m_waitsOut || !route().mayRepeat() || runs() + 1 >= route().maxAttempts;
    return isLast ? deadline() : sentAt() + lostAfterObjectives * route().objective;
}

} // namespace foxtailring
