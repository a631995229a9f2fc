#include "foxtailring/base/RandomSource.h"

#include "EntryParts.h"
#include "foxtailring/base/ThreadLocalRandom.h"
#include "GenerationRunner.h"
#include "ServerChoice.h"

// Choice of servers for a GenerationRunner.

namespace foxtailring {

void GenerationRunner::perform(const GenerationAction::ChooseServer &action)
{
    m_chosenId.clear();
    countWork();
    switch (action.reason) {
    case ServerRequestReason::First:
        offer(ServerChoice::forNew(m_parts, m_job, action.excluded));
        break;
    case ServerRequestReason::Retry:
        retry(action.excluded);
        break;
    case ServerRequestReason::Resume:
        noteInterruption();
        waitForResume(action.excluded);
        break;
    }
}

void GenerationRunner::retry(const std::set<std::string> &excluded)
{
    if (m_parts.retries.tryConsume(m_job.service, m_parts.clock())) {
        m_parts.metrics.add("retries_total{kind=\"generation\"}");
        offer(ServerChoice::forNew(m_parts, m_job, excluded));
        return;
    }
    offer(Error {ErrorCode::Overloaded, "the retry budget of the service is used up"});
}

void GenerationRunner::waitForResume(const std::set<std::string> &excluded)
{
    m_parts.metrics.add("resumes_total");
    m_resumeTicket = threadLocalRandom().generateHexId();
    const std::weak_ptr<GenerationRunner> weak = weak_from_this();
    m_parts.resumes.submit(m_job.service, m_resumeTicket, m_job.priority, [weak, excluded] {
        if (const auto self = weak.lock())
            self->m_queue.post([self, excluded] { self->chooseResume(excluded); });
    });
}

void GenerationRunner::chooseResume(const std::set<std::string> &excluded)
{
    if (!m_session.isDone())
        offer(ServerChoice::forResume(m_parts, m_job, excluded, m_session.answer().nextOffset()));
}

void GenerationRunner::offer(Result<RouteChoice> choice)
{
    post([this, choice = std::move(choice)](TimePoint now) {
        if (!choice)
            return m_session.onNoServer(choice.error(), {}, now);
        m_chosenId = choice.value().serverId;
        return m_session.onServerChosen(choice.value().address, now);
    });
}

} // namespace foxtailring
