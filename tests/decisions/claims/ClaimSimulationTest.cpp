#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/claims/ClaimTable.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t bucket = 0;
constexpr std::uint64_t nodeCount = 3;
constexpr std::uint64_t keyCount = 4;

/// \brief Three sidecars that share one bucket, with lost replies, delayed swaps, outages and
/// crashes.
class ClaimSimulation
{
public:
    explicit ClaimSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::uint64_t node = 0; node < nodeCount; ++node)
            restart(node);
    }

    void run()
    {
        for (int step = 0; step < 1500; ++step)
            performRandomStep();
        m_faults = false;
        for (int step = 0; step < 600; ++step) {
            for (std::uint64_t node = 0; node < nodeCount; ++node)
                performAction(node);
            advance(100ms);
        }
        CPPUNIT_ASSERT_EQUAL(m_submissions.size(), m_answered.size() + m_lostSubmissions.size());
        checkAnswers();
    }

    std::size_t executedCalls() const { return m_executedCalls.size(); }

private:
    struct Submission
    {
        std::string key;
        std::uint64_t node = 0;
    };
    struct Node
    {
        std::unique_ptr<ClaimTable> table;
        std::vector<ReadBucket> reads;
        std::vector<SwapBucket> swaps;
        std::vector<SendCall> sends;
    };

    bool chance(std::uint64_t percent) { return m_random.bounded(100) < percent; }

    void performRandomStep()
    {
        const std::uint64_t node = m_random.bounded(nodeCount);
        const std::uint64_t roll = m_random.bounded(100);
        if (roll < 15)
            submit(node);
        else if (roll < 75)
            performAction(node);
        else if (roll < 76)
            restart(node);
        else if (roll < 80)
            applyDelayedSwap();
        else
            advance(std::chrono::milliseconds(m_random.bounded(400)));
    }

    void submit(std::uint64_t node)
    {
        const std::uint64_t callId = m_submissions.size() + 1;
        const std::string key = "k" + std::to_string(m_random.bounded(keyCount) + 100 * m_epoch);
        m_epoch += chance(2) ? 1 : 0;
        m_submissions[callId] = {key, node};
        const auto time = std::chrono::milliseconds(50 + m_random.bounded(4000));
        collect(node,
                m_nodes[node].table->submit(
                    {callId, bucket, key, "b", m_now.monotonic + time, true}, m_now));
    }

    // Performs one action of a node, with a random result.
    void performAction(std::uint64_t index)
    {
        Node &node = m_nodes[index];
        if (!node.swaps.empty())
            swap(index);
        else if (!node.reads.empty())
            read(index);
        if (!node.sends.empty())
            call(index);
    }

    void read(std::uint64_t index)
    {
        Node &node = m_nodes[index];
        node.reads.pop_back();
        if (m_faults && chance(15))
            return collect(index, node.table->onPlatformUnavailable(bucket, m_now));
        collect(index, node.table->onBucketLoaded(bucket, m_value, {0, m_revision}, m_now));
    }

    void swap(std::uint64_t index)
    {
        Node &node = m_nodes[index];
        const SwapBucket swap = node.swaps.back();
        node.swaps.pop_back();
        const std::uint64_t fault = m_faults ? m_random.bounded(100) : 100;
        if (fault < 10)
            return collect(index, node.table->onPlatformUnavailable(bucket, m_now));
        if (fault < 25)
            m_delayedSwaps.push_back(swap);
        const bool worked = fault >= 25 && apply(swap);
        if (fault < 40)
            return collect(index, node.table->onSwapUnknown(bucket, m_now));
        if (worked)
            collect(index, node.table->onSwapSucceeded(bucket, {0, m_revision}, m_now));
        else
            collect(index, node.table->onSwapConflict(bucket, m_value, {0, m_revision}, m_now));
    }

    void call(std::uint64_t index)
    {
        Node &node = m_nodes[index];
        const SendCall send = node.sends.back();
        node.sends.pop_back();
        const std::uint64_t roll = m_random.bounded(100);
        if (roll < 40)
            return collect(index, node.table->onCallNotSent(send, "refused", m_now));
        m_executedCalls.push_back(send);
        if (roll < 70)
            collect(index, node.table->onCallLost(send, "cut", m_now));
        else
            collect(index, node.table->onCallFinished(send, 200, "x", m_now));
    }

    bool apply(const SwapBucket &swap)
    {
        if (swap.expectedRevision.number != m_revision)
            return false;
        m_value = swap.value;
        ++m_revision;
        return true;
    }

    void applyDelayedSwap()
    {
        if (m_delayedSwaps.empty())
            return;
        apply(m_delayedSwaps.back());
        m_delayedSwaps.pop_back();
    }

    // Replaces a node's process by a new one. Calls that it was about to send may have been sent.
    void restart(std::uint64_t index)
    {
        Node &node = m_nodes[index];
        for (const SendCall &send : node.sends) {
            if (chance(50))
                m_executedCalls.push_back(send);
        }
        m_delayedSwaps.insert(m_delayedSwaps.end(), node.swaps.begin(), node.swaps.end());
        for (const auto &[callId, submission] : m_submissions) {
            if (submission.node == index && !m_answered.contains(callId))
                m_lostSubmissions.insert(callId);
        }
        node = {};
        node.table = std::make_unique<ClaimTable>(++m_lastIncarnation, ClaimLimits {});
    }

    void advance(std::chrono::milliseconds time)
    {
        m_milliseconds += time.count();
        m_now.monotonic += time;
        m_now.unixSeconds = m_milliseconds / 1000;
        for (std::uint64_t node = 0; node < nodeCount; ++node)
            collect(node, m_nodes[node].table->tick(m_now));
    }

    void collect(std::uint64_t index, const ClaimActions &actions)
    {
        Node &node = m_nodes[index];
        for (const auto &action : actions) {
            if (const auto *read = std::get_if<ReadBucket>(&action))
                node.reads.push_back(*read);
            else if (const auto *swap = std::get_if<SwapBucket>(&action))
                node.swaps.push_back(*swap);
            else if (const auto *send = std::get_if<SendCall>(&action))
                node.sends.push_back(*send);
            else if (const auto *answer = std::get_if<AnswerCall>(&action))
                CPPUNIT_ASSERT(m_answered.emplace(answer->callId, *answer).second);
        }
        CPPUNIT_ASSERT(node.reads.size() + node.swaps.size() <= 1);
    }

    void checkAnswers() const
    {
        std::map<std::string, std::uint64_t> ranBy;
        for (const SendCall &send : m_executedCalls)
            CPPUNIT_ASSERT(ranBy.emplace(send.key, send.callId).second);
        for (const auto &[callId, answer] : m_answered) {
            const auto ran = ranBy.find(m_submissions.at(callId).key);
            // NotRun: neither this call nor an earlier one of its key ran, before or after.
            if (answer.outcome == Outcome::NotRun && ran != ranBy.end())
                CPPUNIT_ASSERT(ran->second > callId);
            if (answer.outcome == Outcome::Done)
                CPPUNIT_ASSERT(ran != ranBy.end());
        }
    }

    RandomSource m_random;
    bool m_faults = true;
    std::map<std::uint64_t, Node> m_nodes;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_epoch = 0;
    ClockReadings m_now {TimePoint() + 1h, 1'700'000'000};
    std::int64_t m_milliseconds = 1'700'000'000'000;
    std::string m_value;
    std::int64_t m_revision = 0;
    std::vector<SwapBucket> m_delayedSwaps; ///< their senders do not know the result
    std::map<std::uint64_t, Submission> m_submissions;
    std::map<std::uint64_t, AnswerCall> m_answered;
    std::set<std::uint64_t> m_lostSubmissions;
    std::vector<SendCall> m_executedCalls;
};

} // namespace

class ClaimSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimSimulationTest);
    CPPUNIT_TEST(noKeyRunsTwiceAndNotRunIsTrue);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against interleavings of lost replies, delayed swaps and crashes that run a call twice
    // or make a NotRun result untrue.
    void noKeyRunsTwiceAndNotRunIsTrue()
    {
        std::size_t executedCalls = 0;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            ClaimSimulation simulation(seed);
            try {
                simulation.run();
            } catch (CppUnit::Exception &exception) {
                exception.setMessage(CppUnit::Message("seed " + std::to_string(seed),
                                                      exception.message().details()));
                throw;
            }
            executedCalls += simulation.executedCalls();
        }
        CPPUNIT_ASSERT(executedCalls > 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimSimulationTest);
