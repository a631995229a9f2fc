#include "foxtailring/decisions/admission/AdmissionController.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <thread>

using namespace foxtailring;
using namespace std::chrono_literals;

class AdmissionControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionControllerTest);
    CPPUNIT_TEST(limitsAreSharedBetweenEntries);
    CPPUNIT_TEST(requestRateIsLimited);
    CPPUNIT_TEST(waitBeyondTheDeadlineIsRefusedAtOnce);
    CPPUNIT_TEST(queuedRequestExpiresEarly);
    CPPUNIT_TEST(eachExpiredRequestGetsItsOwnRetryDelay);
    CPPUNIT_TEST(higherPriorityStartsFirst);
    CPPUNIT_TEST(smallAccountIsNotStarved);
    CPPUNIT_TEST(accountAtItsLimitDoesNotBlockOthers);
    CPPUNIT_TEST(cancelledRequestIsNotStarted);
    CPPUNIT_TEST(noCapacityIsRefused);
    CPPUNIT_TEST(newWorkShareLowersTheLimit);
    CPPUNIT_TEST(limitFollowsCandidates);
    CPPUNIT_TEST(workOnLeavingServersIsNotCounted);
    CPPUNIT_TEST(isThreadSafe);
    CPPUNIT_TEST_SUITE_END();

    AdmissionController m_admission;
    const TimePoint m_now = TimePoint {} + 1h;

    AdmissionDecision submit(const std::string &account, std::uint32_t priority = 5,
                             Duration deadline = 1h, AccountLimits limits = {})
    {
        return m_admission.submit(
            AdmissionRequest {account, "s", limits, priority, m_now + deadline}, m_now);
    }
    Ticket started(const AdmissionDecision &decision)
    {
        CPPUNIT_ASSERT(std::holds_alternative<Admitted>(decision));
        return std::get<Admitted>(decision).ticket;
    }
    Ticket queued(const AdmissionDecision &decision)
    {
        CPPUNIT_ASSERT(std::holds_alternative<Queued>(decision));
        return std::get<Queued>(decision).ticket;
    }
    AdmissionRefusal refused(const AdmissionDecision &decision)
    {
        CPPUNIT_ASSERT(std::holds_alternative<AdmissionRefusal>(decision));
        return std::get<AdmissionRefusal>(decision);
    }

public:
    // Guards against an account that gets its full limit at each entry.
    void limitsAreSharedBetweenEntries()
    {
        m_admission.setConcurrencyLimit("s", 100);
        m_admission.setLiveEntries(3);
        const AccountLimits limits {6, 0};
        const Ticket first = started(submit("a", 5, 1h, limits));
        started(submit("a", 5, 1h, limits));
        const Ticket third = queued(submit("a", 5, 1h, limits));
        CPPUNIT_ASSERT(m_admission.startReady(m_now).empty());
        m_admission.release(first, m_now);
        CPPUNIT_ASSERT(m_admission.startReady(m_now) == std::vector<Ticket> {third});
    }

    // Guards against a client account that floods the entry with short requests.
    void requestRateIsLimited()
    {
        m_admission.setConcurrencyLimit("s", 1000);
        m_admission.setLiveEntries(2);
        const AccountLimits limits {0, 10};
        for (int i = 0; i < 10; ++i)
            started(submit("a", 5, 1h, limits));
        const AdmissionRefusal refusal = refused(submit("a", 5, 1h, limits));
        CPPUNIT_ASSERT(refusal.code == ErrorCode::LimitExceeded);
        CPPUNIT_ASSERT(refusal.retryAfter >= Duration(1s));
        started(m_admission.submit(AdmissionRequest {"a", "s", limits, 5, m_now + 1h},
                                   m_now + refusal.retryAfter));
        started(submit("b", 5, 1h, limits));
    }

    // Guards against queueing a request that would be refused near its deadline anyway.
    void waitBeyondTheDeadlineIsRefusedAtOnce()
    {
        m_admission.setConcurrencyLimit("s", 1);
        started(submit("a"));
        queued(submit("a", 5, 10s)); // expected wait 2 s
        queued(submit("a", 5, 10s));
        const AdmissionRefusal refusal = refused(submit("a", 5, 10s));
        CPPUNIT_ASSERT(refusal.code == ErrorCode::Overloaded);
        CPPUNIT_ASSERT(refusal.retryAfter >= Duration(1s));
        CPPUNIT_ASSERT(refused(submit("b", 5, 0s)).code == ErrorCode::Timeout);
        queued(submit("b", 5, 10s)); // another account waits for one request only
    }

    // Guards against keeping requests queued after a loss of capacity means that they cannot start
    // in time.
    void queuedRequestExpiresEarly()
    {
        m_admission.setConcurrencyLimit("s", 4);
        for (int i = 0; i < 4; ++i)
            started(submit("a"));
        const Ticket early = queued(submit("a", 5, 10s));
        for (int i = 0; i < 5; ++i)
            queued(submit("a", 5, 10s));
        CPPUNIT_ASSERT(m_admission.expire(m_now).empty());
        m_admission.setConcurrencyLimit("s", 1);
        const auto expired = m_admission.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), expired.size()); // 2 of 6 start within 5 s
        CPPUNIT_ASSERT(expired.front().ticket != early);
        CPPUNIT_ASSERT(expired.front().refusal.retryAfter >= Duration(1s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_admission.queued("s"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_admission.expire(m_now + 5s).size());
    }

    // Guards against a caller that is told to wait as long as the last one in the queue.
    void eachExpiredRequestGetsItsOwnRetryDelay()
    {
        m_admission.setConcurrencyLimit("s", 1);
        started(submit("a"));
        const Ticket first = queued(submit("a", 5, 8s));
        for (int i = 0; i < 6; ++i)
            queued(submit("a"));
        const auto expired = m_admission.expire(m_now + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), expired.size());
        CPPUNIT_ASSERT_EQUAL(first, expired.front().ticket);
        // Nobody is ahead of it: one run of 2 s, and the jitter of up to a quarter.
        CPPUNIT_ASSERT(expired.front().refusal.retryAfter <= Duration(2500ms));
    }

    // Guards against interactive requests that wait behind batch requests.
    void higherPriorityStartsFirst()
    {
        m_admission.setConcurrencyLimit("s", 1);
        const Ticket running = started(submit("a"));
        const Ticket low = queued(submit("a", 9));
        const Ticket high = queued(submit("b", 0));
        m_admission.release(running, m_now);
        CPPUNIT_ASSERT(m_admission.startReady(m_now) == std::vector<Ticket> {high});
        m_admission.release(high, m_now);
        CPPUNIT_ASSERT(m_admission.startReady(m_now) == std::vector<Ticket> {low});
    }

    // Guards against a large account whose queue starves the small ones.
    void smallAccountIsNotStarved()
    {
        m_admission.setConcurrencyLimit("s", 1);
        Ticket running = started(submit("large"));
        std::map<Ticket, std::string> owner;
        for (int i = 0; i < 50; ++i)
            owner[queued(submit("large"))] = "large";
        for (int i = 0; i < 3; ++i)
            owner[queued(submit("small"))] = "small";
        int small = 0;
        for (int i = 0; i < 6; ++i) {
            m_admission.release(running, m_now);
            running = m_admission.startReady(m_now).at(0);
            small += owner[running] == "small" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, small);
    }

    // Guards against capacity that stays idle because the next request's account is at its limit.
    void accountAtItsLimitDoesNotBlockOthers()
    {
        m_admission.setConcurrencyLimit("s", 2);
        started(submit("a", 5, 1h, {1, 0}));
        queued(submit("a", 0, 1h, {1, 0}));
        started(submit("b"));
    }

    // Guards against starting a request whose caller has disconnected, and against a leaked slot.
    void cancelledRequestIsNotStarted()
    {
        m_admission.setConcurrencyLimit("s", 1);
        const Ticket running = started(submit("a"));
        const Ticket waiting = queued(submit("a"));
        m_admission.release(waiting, m_now);
        m_admission.release(waiting, m_now);
        m_admission.release(running, m_now);
        CPPUNIT_ASSERT(m_admission.startReady(m_now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_admission.running("s"));
        started(submit("a"));
    }

    // Guards against queueing requests while a service has no server at all.
    void noCapacityIsRefused()
    {
        CPPUNIT_ASSERT(refused(submit("a")).code == ErrorCode::Unavailable);
        m_admission.setConcurrencyLimit("s", 1);
        started(submit("a"));
        queued(submit("a"));
        m_admission.setConcurrencyLimit("s", 0);
        CPPUNIT_ASSERT(refused(submit("a")).retryAfter >= Duration(1s));
    }

    // Guards against new work that takes the capacity needed by resumes after a loss.
    void newWorkShareLowersTheLimit()
    {
        m_admission.setConcurrencyLimit("s", 8);
        m_admission.setNewWorkShare("s", 0.25);
        CPPUNIT_ASSERT_EQUAL(2U, m_admission.concurrencyLimit("s"));
        started(submit("a"));
        started(submit("a"));
        queued(submit("a"));
        m_admission.setNewWorkShare("s", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_admission.startReady(m_now).size());
    }

    // Guards against a limit that ignores lost servers or the other entries.
    void limitFollowsCandidates()
    {
        ServerState state;
        state.capacity = 20;
        state.running = 20;
        state.reportAge = Duration {};
        const std::vector<ServerState> full(4, state);
        m_admission.updateCapacity("s", full, 4);
        CPPUNIT_ASSERT_EQUAL(22U, m_admission.concurrencyLimit("s"));
        m_admission.updateCapacity("s", {}, 4);
        CPPUNIT_ASSERT_EQUAL(0U, m_admission.concurrencyLimit("s"));
        state.running = 0;
        m_admission.updateCapacity("s", std::vector<ServerState>(4, state), 20);
        CPPUNIT_ASSERT_EQUAL(20U,
                             m_admission.concurrencyLimit("s")); // a quarter of the free capacity
    }

    // Guards against refusing new work during a rolling restart until all old work has finished.
    void workOnLeavingServersIsNotCounted()
    {
        std::vector<ServerState> servers(3);
        for (ServerState &state : servers)
            state.capacity = 10;
        servers[1].status = ServerStatus::Leaving;
        servers[1].ownInFlight = 7;
        servers[2].inSubset = false;
        m_admission.updateCapacity("s", servers, 1);
        CPPUNIT_ASSERT_EQUAL(18U, m_admission.concurrencyLimit("s")); // 10 * 1.1 + 7
        servers[0].status = ServerStatus::Lost;
        m_admission.updateCapacity("s", servers, 1);
        CPPUNIT_ASSERT_EQUAL(0U, m_admission.concurrencyLimit("s"));
    }

    // Guards against data races and leaked slots when several threads submit at once.
    void isThreadSafe()
    {
        m_admission.setConcurrencyLimit("s", 2);
        const auto work = [this](const std::string &account) {
            for (int i = 0; i < 500; ++i) {
                const AdmissionDecision decision = submit(account);
                if (const auto *admitted = std::get_if<Admitted>(&decision))
                    m_admission.release(admitted->ticket, m_now);
                for (const Ticket ticket : m_admission.startReady(m_now))
                    m_admission.release(ticket, m_now);
                m_admission.expire(m_now);
            }
        };
        std::vector<std::thread> workers;
        for (const char *account : {"a", "b", "c", "d"})
            workers.emplace_back(work, account);
        for (std::thread &worker : workers)
            worker.join();
        for (std::vector<Ticket> rest; !(rest = m_admission.startReady(m_now)).empty();) {
            for (const Ticket ticket : rest)
                m_admission.release(ticket, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_admission.queued("s"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_admission.running("s"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControllerTest);
