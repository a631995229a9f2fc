#include "foxtailring/decisions/generation/GenerationSession.h"

#include "foxtailring/protocol/Accepted.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/protocol/Tokens.h"

#include "GenerationTestData.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;
using Action = GenerationAction;
using namespace foxtailring::test;

class GenerationSessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GenerationSessionTest);
    CPPUNIT_TEST(cutStreamIsReattachedAndContinues);
    CPPUNIT_TEST(silentSidecarIsReattachedThenResumedWithTheExactPrefix);
    CPPUNIT_TEST(failedEngineIsResumedElsewhere);
    CPPUNIT_TEST(refusedStartIsRetriedElsewhereAndStaysNotRun);
    CPPUNIT_TEST(requestErrorIsNotRetried);
    CPPUNIT_TEST(completeAnswerNeedsNoNewAttempt);
    CPPUNIT_TEST(resumeWithoutServersEndsInTime);
    CPPUNIT_TEST(resumeThatCannotMakeTheDeadlineFailsAtOnce);
    CPPUNIT_TEST(attemptsWithoutProgressAreBounded);
    CPPUNIT_TEST(returningCallerGetsOnlyWhatItLacks);
    CPPUNIT_TEST(lostJournalOfReturningCallerIsIncomplete);
    CPPUNIT_TEST(journalWithoutItsBeginningIsReadFromTheCallersOffset);
    CPPUNIT_TEST(pausedSidecarOfReturningCallerIsWaitedFor);
    CPPUNIT_TEST(callerWithoutTokensIsRestarted);
    CPPUNIT_TEST(disconnectedCallerDetachesOrCancels);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now {1h};

    GenerationSession runningSession(GenerationSpec wanted = spec(), std::uint64_t tokens = 3)
    {
        GenerationSession session(std::move(wanted), {});
        CPPUNIT_ASSERT(find<Action::ChooseServer>(session.start(m_now)));
        CPPUNIT_ASSERT(find<Action::Start>(session.onServerChosen("a", m_now)));
        session.onAccepted(Accepted {"r", 1, "a", 1}, m_now);
        if (tokens > 0)
            CPPUNIT_ASSERT(
                find<Action::Emit>(session.onTokens(tokensMessage(1, 0, tokens), m_now)));
        return session;
    }

public:
    // Guards against recomputing tokens that the journal still has.
    void cutStreamIsReattachedAndContinues()
    {
        auto session = runningSession();
        const auto cut = session.onStreamClosed(1, {ErrorCode::Closed, "reset"}, m_now);
        const auto *attach = find<Action::Attach>(cut);
        CPPUNIT_ASSERT(attach && attach->newConnection);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), attach->fromOffset);
        const auto more = session.onTokens(tokensMessage(1, 2, 3), m_now + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), find<Action::Emit>(more)->offset);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), find<Action::Emit>(more)->tokens.size());
        const auto end = session.onFinished(Finished {"r", 1, 5, "stop"}, m_now + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::string("stop"), find<Action::Complete>(end)->reason);
    }

    // Guards against an answer that is mixed from two generations.
    void silentSidecarIsReattachedThenResumedWithTheExactPrefix()
    {
        auto session = runningSession();
        CPPUNIT_ASSERT(find<Action::Attach>(session.tick(m_now + 1000ms)));
        const auto lost = session.tick(m_now + 1500ms);
        CPPUNIT_ASSERT(find<Action::Cancel>(lost));
        const auto *choose = find<Action::ChooseServer>(lost);
        CPPUNIT_ASSERT(choose && choose->reason == ServerRequestReason::Resume);
        CPPUNIT_ASSERT(choose->excluded.contains("a"));
        CPPUNIT_ASSERT(session.onTokens(tokensMessage(1, 3, 2), m_now + 1500ms).empty());
        const auto started = session.onServerChosen("b", m_now + 1500ms);
        const auto *start = find<Action::Start>(started);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), start->attempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), start->prefix.size());
        CPPUNIT_ASSERT_EQUAL(tokenAfter(2, 1).id, start->prefix[2].id);
        CPPUNIT_ASSERT(
            !find<Action::Emit>(session.onTokens(tokensMessage(1, 3, 2), m_now + 1600ms)));
        CPPUNIT_ASSERT(
            find<Action::Emit>(session.onTokens(tokensMessage(2, 3, 1), m_now + 1600ms)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), session.answer().dropped().otherAttempts);
    }

    void failedEngineIsResumedElsewhere()
    {
        auto session = runningSession();
        const auto actions =
            session.onFailed(Failed {"r", 1, 3, ErrorCode::EngineFailed, "reset"}, m_now);
        CPPUNIT_ASSERT(find<Action::ChooseServer>(actions)->reason == ServerRequestReason::Resume);
    }

    // Guards against an untrue notRun, and against retries at the server that refused.
    void refusedStartIsRetriedElsewhereAndStaysNotRun()
    {
        GenerationSession session(spec(), {});
        session.start(m_now);
        session.onServerChosen("a", m_now);
        const auto again =
            session.onRefused(Refused {"r", 1, ErrorCode::Draining, "draining", 700}, m_now);
        CPPUNIT_ASSERT(find<Action::ChooseServer>(again)->reason == ServerRequestReason::Retry);
        session.onServerChosen("b", m_now);
        session.onStreamClosed(2, {ErrorCode::Unavailable, "refused"}, m_now);
        const auto end = session.onNoServer({ErrorCode::Unavailable, "none"}, 0ms, m_now);
        CPPUNIT_ASSERT(find<Action::Fail>(end)->notRun);
        CPPUNIT_ASSERT(session.isDone());

        GenerationSession other(spec(), {});
        other.start(m_now);
        other.onServerChosen("a", m_now);
        other.onStreamClosed(1, {ErrorCode::Closed, "cut"}, m_now);
        other.onRefused(Refused {"r", 1, ErrorCode::NotFound, "no journal", 0}, m_now);
        const auto failed = other.onNoServer({ErrorCode::Overloaded, "none"}, 1h, m_now);
        CPPUNIT_ASSERT(!find<Action::Fail>(failed)->notRun);
    }

    void requestErrorIsNotRetried()
    {
        GenerationSession session(spec(), {});
        session.start(m_now);
        session.onServerChosen("a", m_now);
        const auto end =
            session.onRefused(Refused {"r", 1, ErrorCode::InvalidArgument, "prompt", 0}, m_now);
        CPPUNIT_ASSERT(find<Action::Fail>(end)->error.code == ErrorCode::InvalidArgument);
    }

    void completeAnswerNeedsNoNewAttempt()
    {
        auto full = runningSession(spec(), answerTokens);
        const auto end =
            full.onFailed(Failed {"r", 1, answerTokens, ErrorCode::EngineFailed, ""}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("length"), find<Action::Complete>(end)->reason);

        auto stopping = spec();
        stopping.stopSequences = {"201 "};
        auto stopped = runningSession(stopping, 3);
        const auto stop = stopped.onFailed(Failed {"r", 1, 3, ErrorCode::EngineFailed, ""}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("stop"), find<Action::Complete>(stop)->reason);
    }

    void resumeWithoutServersEndsInTime()
    {
        auto session = runningSession();
        session.onFailed(Failed {"r", 1, 3, ErrorCode::EngineFailed, ""}, m_now);
        const TimePoint latest = m_now + GenerationSessionSettings().maxResumeWait;
        bool failed = false;
        while (!failed && m_now <= latest) {
            const auto waits = session.onNoServer({ErrorCode::Unavailable, "none"}, 0ms, m_now);
            failed = find<Action::Fail>(waits) != nullptr;
            if (failed)
                CPPUNIT_ASSERT(!find<Action::Fail>(waits)->notRun);
            else
                m_now = find<Action::ScheduleTick>(waits)->at;
            session.tick(m_now);
        }
        CPPUNIT_ASSERT(failed);
    }

    // Guards against holding a request that cannot be resumed before its deadline.
    void resumeThatCannotMakeTheDeadlineFailsAtOnce()
    {
        auto wanted = spec();
        wanted.deadline = m_now + 2s;
        auto session = runningSession(wanted);
        session.onFailed(Failed {"r", 1, 3, ErrorCode::EngineFailed, ""}, m_now);
        const auto end = session.onNoServer({ErrorCode::Overloaded, "busy"}, 3000ms, m_now);
        CPPUNIT_ASSERT(find<Action::Fail>(end));
        CPPUNIT_ASSERT(find<Action::Fail>(end)->error.code == ErrorCode::Incomplete);
        CPPUNIT_ASSERT(find<Action::Fail>(end)->retryAfter == 3000ms);
    }

    // Guards against a prompt that crashes one engine after the other without end.
    void attemptsWithoutProgressAreBounded()
    {
        auto session = runningSession(spec(), 0);
        std::uint32_t attempts = 1;
        for (; !session.isDone(); ++attempts) {
            CPPUNIT_ASSERT(attempts < 20);
            session.onFailed(Failed {"r", attempts, 0, ErrorCode::EngineFailed, ""}, m_now);
            session.onServerChosen("s" + std::to_string(attempts), m_now);
        }
        CPPUNIT_ASSERT_EQUAL(GenerationSessionSettings().maxAttemptsWithoutProgress + 1, attempts);
    }

    void returningCallerGetsOnlyWhatItLacks()
    {
        auto wanted = spec();
        wanted.callerOffset = 4;
        GenerationSession session(wanted, {});
        const auto attach = session.attach("a", 3, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), find<Action::Attach>(attach)->fromOffset);
        CPPUNIT_ASSERT(!find<Action::Emit>(session.onTokens(tokensMessage(3, 0, 4), m_now)));
        const auto more = session.onTokens(tokensMessage(3, 4, 2), m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), find<Action::Emit>(more)->offset);
        session.onFailed(Failed {"r", 3, 6, ErrorCode::EngineFailed, ""}, m_now);
        const auto resumed = session.onServerChosen("b", m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), find<Action::Start>(resumed)->attempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), find<Action::Start>(resumed)->prefix.size());
    }

    // Guards against appending a new generation to the delivered tokens of a lost one.
    void lostJournalOfReturningCallerIsIncomplete()
    {
        auto wanted = spec();
        wanted.callerOffset = 4;
        GenerationSession session(wanted, {});
        session.attach("a", 3, m_now);
        session.onTokens(tokensMessage(3, 0, 3), m_now);
        const auto end = session.onStreamClosed(3, {ErrorCode::Unavailable, "down"}, m_now);
        CPPUNIT_ASSERT(find<Action::Fail>(end)->error.code == ErrorCode::Incomplete);
        CPPUNIT_ASSERT(!find<Action::Fail>(end)->notRun);
    }

    // Guards against failing an answer although the journal has all tokens that the caller lacks.
    void journalWithoutItsBeginningIsReadFromTheCallersOffset()
    {
        auto wanted = spec();
        wanted.callerOffset = 4;
        GenerationSession session(wanted, {});
        session.attach("a", 3, m_now);
        const auto again =
            session.onRefused(Refused {"r", 3, ErrorCode::Incomplete, "dropped", 0}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), find<Action::Attach>(again)->fromOffset);
        CPPUNIT_ASSERT(find<Action::Emit>(session.onTokens(tokensMessage(3, 4, 2), m_now)));
        // Without the first tokens, no other server can resume it.
        const auto end = session.onFailed(Failed {"r", 3, 6, ErrorCode::EngineFailed, ""}, m_now);
        CPPUNIT_ASSERT(find<Action::Fail>(end)->error.code == ErrorCode::Incomplete);
    }

    // Guards against failing an answer whose only copy is at a paused sidecar.
    void pausedSidecarOfReturningCallerIsWaitedFor()
    {
        auto wanted = spec();
        wanted.callerOffset = 4;
        GenerationSession session(wanted, {});
        auto actions = session.attach("a", 3, m_now);
        const TimePoint latest = m_now + std::chrono::seconds(12);
        std::size_t attaches = 0;
        while (!session.isDone() && m_now < latest) {
            attaches += find<Action::Attach>(actions) ? 1 : 0;
            m_now += 100ms;
            actions = session.tick(m_now);
        }
        CPPUNIT_ASSERT(attaches > 4);
        CPPUNIT_ASSERT(find<Action::Fail>(actions)->error.code == ErrorCode::Incomplete);

        GenerationSession paused(wanted, {});
        paused.attach("a", 3, m_now);
        for (int i = 0; i < 40; ++i)
            paused.tick(m_now += 100ms);
        CPPUNIT_ASSERT(find<Action::Emit>(paused.onTokens(tokensMessage(3, 0, 6), m_now)));
    }

    void callerWithoutTokensIsRestarted()
    {
        GenerationSession session(spec(), {});
        session.attach("a", 1, m_now);
        session.onRefused(Refused {"r", 1, ErrorCode::NotFound, "no journal", 0}, m_now);
        const auto again = session.onServerChosen("b", m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), find<Action::Start>(again)->attempt);
        CPPUNIT_ASSERT(find<Action::Start>(again)->prefix.empty());
    }

    // Guards against cancelling an answer whose caller only lost its connection.
    void disconnectedCallerDetachesOrCancels()
    {
        auto withToken = runningSession();
        CPPUNIT_ASSERT(find<Action::Detach>(withToken.onCallerGone(m_now)));
        auto withoutToken = runningSession(spec(), 0);
        CPPUNIT_ASSERT(find<Action::Cancel>(withoutToken.onCallerGone(m_now)));
        auto keyed = spec();
        keyed.hasIdempotencyKey = true;
        auto withKey = runningSession(keyed, 0);
        CPPUNIT_ASSERT(find<Action::Detach>(withKey.onCallerGone(m_now)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationSessionTest);
