#include "foxtailring/base/LogRateLimiter.h"
#include "LineWriter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <thread>
#include <unistd.h>

using namespace foxtailring;

class LogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogTest);
    CPPUNIT_TEST(linesPerEventAreLimited);
    CPPUNIT_TEST(stalledReaderDoesNotBlock);
    CPPUNIT_TEST(bufferedLinesKeepTheirOrder);
    CPPUNIT_TEST(bufferedLinesAreFlushed);
    CPPUNIT_TEST(flushDoesNotBlockOnAStalledReader);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flood of one event that hides other events.
    void linesPerEventAreLimited()
    {
        LogRateLimiter limiter(LogRateLimiter::Settings {10, 20});
        const TimePoint now {std::chrono::hours(1)};
        int written = 0;
        for (int line = 0; line < 100; ++line)
            written += limiter.tryAcquire("flood", now) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(20, written);
        CPPUNIT_ASSERT(limiter.tryAcquire("other", now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(80), limiter.takeOmittedCount("flood"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), limiter.takeOmittedCount("flood"));
        CPPUNIT_ASSERT(limiter.tryAcquire("flood", now + std::chrono::seconds(1)));
    }

    // Guards against requests that block when the reader of the log stalls and the pipe fills up.
    void stalledReaderDoesNotBlock()
    {
        int pipeEnds[2];
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipeEnds));
        LineWriter writer(pipeEnds[1], 4096);
        const std::string line(1000, 'x');
        for (int i = 0; i < 200; ++i)
            writer.write(line);
        CPPUNIT_ASSERT(writer.takeDroppedCount() > 0);
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }

    void bufferedLinesKeepTheirOrder()
    {
        int pipeEnds[2];
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipeEnds));
        LineWriter writer(pipeEnds[1], 1024 * 1024);
        std::string expected;
        for (int i = 0; i < 20'000; ++i) {
            writer.write("line " + std::to_string(i));
            expected += "line " + std::to_string(i) + '\n';
        }
        std::string read;
        char chunk[8192];
        while (read.size() < expected.size()) {
            const auto size = ::read(pipeEnds[0], chunk, sizeof chunk);
            CPPUNIT_ASSERT(size > 0);
            read.append(chunk, static_cast<std::size_t>(size));
            // Buffered lines are flushed by the next write.
            if (read.size() < expected.size()) {
                writer.write("more");
                expected += "more\n";
            }
        }
        CPPUNIT_ASSERT(expected == read);
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }

    // Guards against the loss of the last lines of a process whose reader lags behind.
    void bufferedLinesAreFlushed()
    {
        int pipeEnds[2];
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipeEnds));
        LineWriter writer(pipeEnds[1], 1024 * 1024);
        const std::string line(999, 'x');
        constexpr std::size_t lineCount = 200; // more than the pipe holds
        for (std::size_t i = 0; i < lineCount; ++i)
            writer.write(line);
        std::size_t readBytes = 0;
        std::thread reader([&] {
            char chunk[8192];
            for (ssize_t size = 0; (size = ::read(pipeEnds[0], chunk, sizeof chunk)) > 0;)
                readBytes += static_cast<std::size_t>(size);
        });
        const bool isFlushed = writer.flush(std::chrono::seconds(20));
        ::close(pipeEnds[1]);
        reader.join();
        ::close(pipeEnds[0]);
        CPPUNIT_ASSERT(isFlushed);
        CPPUNIT_ASSERT_EQUAL(lineCount * (line.size() + 1), readBytes);
    }

    // Guards against a process that does not end because nobody reads its log.
    void flushDoesNotBlockOnAStalledReader()
    {
        int pipeEnds[2];
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipeEnds));
        LineWriter writer(pipeEnds[1], 1024 * 1024);
        for (int i = 0; i < 200; ++i)
            writer.write(std::string(1000, 'x'));
        CPPUNIT_ASSERT(!writer.flush(std::chrono::milliseconds(10)));
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
