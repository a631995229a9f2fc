#include "ConfigDecoder.h"

#include "foxtailring/decisions/configuration/RouteTable.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <stdexcept>
#include <string>

using namespace foxtailring;

// A value is the text of a version, `bad`, or `throws`.
class ConfigDecoderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigDecoderTest);
    CPPUNIT_TEST(onlyTheNewestWaitingValueIsDecoded);
    CPPUNIT_TEST(olderAnswerThatComesLaterIsReplaced);
    CPPUNIT_TEST(newestReadableValueCounts);
    CPPUNIT_TEST(outcomeFollowsAnException);
    CPPUNIT_TEST(epochsAreDecodedInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.post([open = m_gate.get_future().share()] { open.wait(); });
    }

    void tearDown() override
    {
        openGate();
        m_pool.stop();
    }

    // Guards against a storm of configurations whose replaced ones are decoded too.
    void onlyTheNewestWaitingValueIsDecoded()
    {
        offer({{"1", 1}, {"2", 2}});
        const std::uint64_t last = offer({{"3", 3}});
        openGate();
        const auto outcome = m_outcomes.take();
        CPPUNIT_ASSERT_EQUAL(last, outcome->offer);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), outcome->table->version());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), outcome->revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcome->superseded);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), m_decoded.take());
        CPPUNIT_ASSERT(m_decoded.isEmpty());
    }

    // Guards against the answer to a slow read that hides a change reported before it.
    void olderAnswerThatComesLaterIsReplaced()
    {
        offer({{"3", 3}});
        const std::uint64_t last = offer({{"2", 2}});
        openGate();
        const auto outcome = m_outcomes.take();
        CPPUNIT_ASSERT_EQUAL(last, outcome->offer);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), outcome->table->version());
    }

    // Guards against an unreadable value that keeps the one before it from taking effect.
    void newestReadableValueCounts()
    {
        offer({{"1", 1}, {"2", 2}, {"bad", 3}});
        openGate();
        const auto outcome = m_outcomes.take();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), outcome->table->version());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcome->errors.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcome->superseded);
    }

    // Guards against proofs of keys that wait for ever behind a value that cannot be decoded.
    void outcomeFollowsAnException()
    {
        const std::uint64_t last = offer({{"throws", 1}});
        openGate();
        const auto outcome = m_outcomes.take();
        CPPUNIT_ASSERT_EQUAL(last, outcome->offer);
        CPPUNIT_ASSERT(!outcome->table);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcome->errors.size());
    }

    // Guards against a comparison of revisions that belong to different epochs of the store.
    void epochsAreDecodedInOrder()
    {
        offer({{"8", 8}});
        offer({{"9", 2}}, 1);
        openGate();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), m_outcomes.take()->table->version());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), m_outcomes.take()->table->version());
    }

private:
    struct Value
    {
        std::string text;
        std::int64_t revision = 0;
    };

    std::uint64_t offer(const std::vector<Value> &values, std::int64_t epoch = 0)
    {
        std::vector<ConfigDecoder::Candidate> candidates;
        candidates.reserve(values.size());
        for (const Value &value : values)
            candidates.push_back({{"config", value.text, value.revision}, epoch, {}});
        return m_decoder.offer(std::move(candidates));
    }

    void openGate()
    {
        if (!m_isOpen)
            m_gate.set_value();
        m_isOpen = true;
    }

    Result<RouteConfig> decode(std::string_view value)
    {
        m_decoded.put(std::string(value));
        if (value == "throws")
            throw std::runtime_error("not decoded");
        if (value == "bad")
            return Error {ErrorCode::Malformed, "bad"};
        RouteConfig config;
        config.version = std::stoi(std::string(value));
        return config;
    }

    std::promise<void> m_gate;
    bool m_isOpen = false;
    Mailbox<std::string> m_decoded;
    Mailbox<std::shared_ptr<const ConfigDecoder::Outcome>> m_outcomes;
    WorkerPool m_pool {1};
    ConfigDecoder m_decoder {m_pool, bootClock(),
                             [this](std::string_view value) { return decode(value); },
                             [this](const auto &outcome) { m_outcomes.put(outcome); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDecoderTest);
