#include "foxtailring/base/LogRateLimiter.h"
#include "LineWriter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <unistd.h>

using namespace foxtailring;

class LogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(linesOfOneEventAreBounded);
    CPPUNIT_TEST(stoppedReaderBlocksNobody);
    CPPUNIT_TEST(heldLinesComeInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flood of one event that hides the others.
    void linesOfOneEventAreBounded()
    {
        LogRateLimiter budget(LogRateLimiter::Settings {10, 20});
        const TimePoint now {std::chrono::hours(1)};
        int taken = 0;
        for (int line = 0; line < 100; ++line)
            taken += budget.tryAcquire("flood", now) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(20, taken);
        CPPUNIT_ASSERT(budget.tryAcquire("other", now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(80), budget.takeOmittedCount("flood"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), budget.takeOmittedCount("flood"));
        CPPUNIT_ASSERT(budget.tryAcquire("flood", now + std::chrono::seconds(1)));
    }

    // Guards against requests that wait for whoever reads the log: the pipe is full here.
    void stoppedReaderBlocksNobody()
    {
        int ends[2];
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends));
        LineWriter writer(ends[1], 4096);
        const std::string line(1000, 'x');
        for (int i = 0; i < 200; ++i)
            writer.write(line);
        CPPUNIT_ASSERT(writer.takeDroppedCount() > 0);
        ::close(ends[0]);
        ::close(ends[1]);
    }

    void heldLinesComeInOrder()
    {
        int ends[2];
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends));
        LineWriter writer(ends[1], 1024 * 1024);
        std::string expected;
        for (int i = 0; i < 20'000; ++i) {
            writer.write("line " + std::to_string(i));
            expected += "line " + std::to_string(i) + '\n';
        }
        std::string read;
        char chunk[8192];
        while (read.size() < expected.size()) {
            const auto size = ::read(ends[0], chunk, sizeof chunk);
            CPPUNIT_ASSERT(size > 0);
            read.append(chunk, static_cast<std::size_t>(size));
            // Held lines go out with the next one.
            if (read.size() < expected.size()) {
                writer.write("more");
                expected += "more\n";
            }
        }
        CPPUNIT_ASSERT(expected == read);
        ::close(ends[0]);
        ::close(ends[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
