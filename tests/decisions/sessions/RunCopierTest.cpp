#include "foxtailring/decisions/sessions/RunCopier.h"

#include "foxtailring/decisions/placement/AdmittedPlacer.h"
#include "foxtailring/decisions/sessions/RunPlacement.h"
#include "foxtailring/decisions/sessions/RunProgress.h"

#include "ForwardFixture.h"

#include <vector>

using namespace foxtailring;

class RunCopierTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(RunCopierTest);
    CPPUNIT_TEST(continuousCopyIsInAnotherZone);
    CPPUNIT_TEST(copyIsOfNoUseBeforeTheFirstEvent);
    CPPUNIT_TEST(engineThatDoesNotCopyIsOrderedNone);
    CPPUNIT_TEST(lostCopyIsReplacedByASnapshot);
    CPPUNIT_TEST(oneOrderIsInProgressAtATime);
    CPPUNIT_TEST(failedOrderIsRepeatedLater);
    CPPUNIT_TEST(serverInAPauseGetsNoOrder);
    CPPUNIT_TEST(snapshotIsRenewedAtItsHolder);
    CPPUNIT_TEST(answerToAnEarlierOrderIsNotUsed);
    CPPUNIT_TEST(restartedRunGetsACopyAtOnce);
    CPPUNIT_TEST(holderInAFailingZoneIsProbed);
    CPPUNIT_TEST(holderIsNotProbedBesideAnotherProbe);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        listServers();
        m_copier.emplace(m_context, m_progress, m_placement, m_admittedPlacer,
                         RunCopier::Methods {true, true});
    }

    // Guards against losing a copy together with its run.
    void continuousCopyIsInAnotherZone()
    {
        for (int round = 0; round < 20; ++round) {
            const SendAttempt attempt = start();
            CPPUNIT_ASSERT(attempt.copyTo);
            CPPUNIT_ASSERT(attempt.copyTo->info.availabilityZone != "a");
            CPPUNIT_ASSERT_EQUAL(attempt.copyTo->info.id, m_copier->holder()->info.id);
        }
    }

    // Guards against resuming a run whose prompt was still being processed.
    void copyIsOfNoUseBeforeTheFirstEvent()
    {
        start();
        CPPUNIT_ASSERT(!m_copier->hasUsableCopy(now));
        m_progress.recordEvent(now);
        CPPUNIT_ASSERT(m_copier->hasUsableCopy(now));
    }

    // Guards against orders that the engines of the route do not know.
    void engineThatDoesNotCopyIsOrderedNone()
    {
        m_copier.emplace(m_context, m_progress, m_placement, m_admittedPlacer,
                         RunCopier::Methods {});
        CPPUNIT_ASSERT(!start().copyTo);
        CPPUNIT_ASSERT(m_copier->checkAt() == TimePoint::max());
        m_copier->restart(now);
        CPPUNIT_ASSERT(m_copier->checkAt() == TimePoint::max());
    }

    void lostCopyIsReplacedByASnapshot()
    {
        const CopyRun order = lostCopyOrder();
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), order.from.info.id);
        CPPUNIT_ASSERT(!m_copier->hasUsableCopy(m_at));
        m_copier->onCopied(order, "h1", m_at);
        CPPUNIT_ASSERT(m_copier->hasUsableCopy(m_at));
        const auto resumed = m_copier->takeResumeAttempt(m_at);
        CPPUNIT_ASSERT_EQUAL(order.to.info.id, resumed.value().server.info.id);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), resumed->fromCopy.value().handle);
    }

    // Guards against two orders at a time, the first of which nobody waits for.
    void oneOrderIsInProgressAtATime()
    {
        lostCopyOrder();
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(check()));
    }

    void failedOrderIsRepeatedLater()
    {
        const CopyRun order = lostCopyOrder();
        const TimePoint failedAt = m_at;
        m_copier->onCopied(order, std::nullopt, failedAt);
        CPPUNIT_ASSERT(std::holds_alternative<CopyRun>(check()));
        CPPUNIT_ASSERT(m_at >= failedAt + Ms(900));
    }

    // Guards against orders during a pause that the server of the run has asked for.
    void serverInAPauseGetsNoOrder()
    {
        start();
        m_progress.recordEvent(now);
        loseCopy();
        BackendAnswer pause = answer(503);
        pause.namesPause = true;
        pause.pause = Ms(600);
        pauses.recordAnswer(info("a1", "a"), pause, now);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(check()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), paused.size());
        CPPUNIT_ASSERT(std::holds_alternative<CopyRun>(check()));
        CPPUNIT_ASSERT(m_at >= now + Ms(1000));
    }

    // Engines drop a snapshot that is neither used nor renewed.
    void snapshotIsRenewedAtItsHolder()
    {
        const CopyRun order = lostCopyOrder();
        const TimePoint orderedAt = m_at;
        m_copier->onCopied(order, "h1", m_at);
        ForwardAction next = KeepWaiting {};
        while (std::holds_alternative<KeepWaiting>(next) && m_at < orderedAt + Ms(4000))
            next = check();
        CPPUNIT_ASSERT_EQUAL(order.to.info.id, std::get<CopyRun>(next).to.info.id);
        CPPUNIT_ASSERT(m_at >= orderedAt + Ms(1500) && m_at <= orderedAt + Ms(3000));
    }

    // Guards against resuming from a snapshot of an earlier attempt, and against the slot that the
    // engine would keep for it.
    void answerToAnEarlierOrderIsNotUsed()
    {
        const CopyRun order = lostCopyOrder();
        m_copier->restart(m_at);
        m_copier->onCopied(order, "h1", m_at);
        CPPUNIT_ASSERT(!m_copier->holder());
        CPPUNIT_ASSERT(released.empty());
        m_copier->end();
        CPPUNIT_ASSERT((released == std::vector<std::string> {"h1"}));
    }

    // Guards against a run without a copy after its fallback became the current attempt again.
    void restartedRunGetsACopyAtOnce()
    {
        start();
        m_progress.recordEvent(now);
        m_copier->restart(now);
        CPPUNIT_ASSERT(!m_copier->holder());
        CPPUNIT_ASSERT(m_copier->checkAt() == now);
        CPPUNIT_ASSERT(std::holds_alternative<CopyRun>(check()));
    }

    // Servers of a zone fail together. Guards against resuming at one that has failed, too.
    void holderInAFailingZoneIsProbed()
    {
        start();
        m_progress.recordEvent(now);
        const BackendInfo holder = m_copier->holder()->info;
        failZone(holder, now + Ms(1));
        const ForwardAction next = check();
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(next));
        const auto &probe = std::get<ProbeServers>(next);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), probe.servers.size());
        CPPUNIT_ASSERT_EQUAL(holder.id, probe.servers.front().info.id);
        CPPUNIT_ASSERT(probe.useNewConnections);
        CPPUNIT_ASSERT(m_copier->isProbing());
        m_copier->onProbed({}, m_at);
        CPPUNIT_ASSERT(!m_copier->isProbing());
        CPPUNIT_ASSERT(!m_copier->hasUsableCopy(m_at));
        const ForwardAction order = check();
        CPPUNIT_ASSERT(std::holds_alternative<CopyRun>(order));
        CPPUNIT_ASSERT(std::get<CopyRun>(order).to.info.availabilityZone
                       != holder.availabilityZone);
    }

    // A request has one probe at a time. Guards against losing that of the run's own server.
    void holderIsNotProbedBesideAnotherProbe()
    {
        start();
        m_progress.recordEvent(now);
        failZone(m_copier->holder()->info, now + Ms(1));
        m_at = m_copier->checkAt();
        const ForwardAction next = m_copier->check(*servers.server("a1", m_at), false, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(next));
        CPPUNIT_ASSERT(!m_copier->isProbing());
    }

private:
    /// \brief Starts an attempt at the server `a1`.
    SendAttempt start()
    {
        SendAttempt attempt;
        attempt.server = *servers.server("a1", now);
        m_progress.start(false, now);
        m_copier->start(attempt, now);
        return attempt;
    }

    /// \brief The server that holds the copy leaves.
    void loseCopy() { sayLeaving(m_copier->holder()->info.id); }

    /// \brief Starts an attempt, lets it send an event and lose its copy. Returns the order for
    /// another one.
    CopyRun lostCopyOrder()
    {
        start();
        m_progress.recordEvent(now);
        loseCopy();
        const ForwardAction next = check();
        CPPUNIT_ASSERT(std::holds_alternative<CopyRun>(next));
        return std::get<CopyRun>(next);
    }

    /// \brief Returns the action of the next check.
    ForwardAction check()
    {
        m_at = m_copier->checkAt();
        return m_copier->check(*servers.server("a1", m_at), true, m_at);
    }

    const HttpRoute m_route = route(CallKind::Stream);
    const ForwardContext m_context = context();
    const std::string m_service = "engine";
    std::vector<std::string> m_triedIds;
    RunPlacement m_placement {m_context, m_service, m_triedIds};
    AdmittedPlacer m_admittedPlacer {m_context, m_service};
    RunProgress m_progress {m_route};
    std::optional<RunCopier> m_copier;
    TimePoint m_at; ///< of the latest check
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunCopierTest);
