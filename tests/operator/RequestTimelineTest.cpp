#include "foxtailring/operator/RequestTimeline.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

using namespace foxtailring;

class RequestTimelineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTimelineTest);
    CPPUNIT_TEST(linesArePrintedInTimeOrder);
    CPPUNIT_TEST(latestStateBeforeTheRequestIsPrinted);
    CPPUNIT_TEST(leavingServerIsReported);
    CPPUNIT_TEST(killedProcessIsReported);
    CPPUNIT_TEST(requestWithoutLinesIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // The logs of several processes are concatenated, some with the prefix of a log collector.
    void linesArePrintedInTimeOrder()
    {
        RequestTimeline timeline("r1");
        timeline.addLine(
            R"(g2 | {"time":"T3","node":"g2","event":"request","request":"r1","status":"200"})");
        timeline.addLine(
            R"({"time":"T2","node":"g1","event":"attempt","request":"r1","server":"s1"})");
        timeline.addLine(
            R"({"time":"T2","node":"g1","event":"attempt","request":"r2","server":"s1"})");
        timeline.addLine("no json");
        timeline.addLine("{broken");
        const std::string text = printed(timeline);
        CPPUNIT_ASSERT(text.find("attempt") < text.find("status 200"));
        CPPUNIT_ASSERT(text.find("r2") == std::string::npos);
        CPPUNIT_ASSERT(text.find("1 lines could not be read") != std::string::npos);
    }

    // Guards against a timeline without the state that the node decided on.
    void latestStateBeforeTheRequestIsPrinted()
    {
        RequestTimeline timeline("r1");
        timeline.addLine(R"({"time":"T1","node":"g1","event":"configInForce","version":"3"})");
        timeline.addLine(R"({"time":"T2","node":"g1","event":"configInForce","version":"4"})");
        timeline.addLine(R"({"time":"T9","node":"g1","event":"configInForce","version":"5"})");
        timeline.addLine(R"({"time":"T2","node":"g2","event":"configInForce","version":"6"})");
        timeline.addLine(R"({"time":"T3","node":"g1","event":"serverSuspected","server":"s1"})");
        timeline.addLine(R"({"time":"T3","node":"g1","event":"serverSuspected","server":"s2"})");
        timeline.addLine(
            R"({"time":"T4","node":"g1","event":"attempt","request":"r1","server":"s1"})");
        const std::string text = printed(timeline);
        CPPUNIT_ASSERT(text.find("version 4") != std::string::npos);
        for (const char *other : {"version 3", "version 5", "version 6", "server s2"})
            CPPUNIT_ASSERT_MESSAGE(other, text.find(other) == std::string::npos);
        CPPUNIT_ASSERT(text.find("serverSuspected") < text.find("attempt"));
    }

    // Guards against a timeline that does not say why a run at a server that is listed as ready
    // ended.
    void leavingServerIsReported()
    {
        RequestTimeline timeline("r1");
        timeline.addLine(
            R"({"time":"T1","node":"g1","event":"serverLeaving","server":"s1","source":"answer"})");
        timeline.addLine(
            R"({"time":"T2","node":"g1","event":"attempt","request":"r1","server":"s1"})");
        CPPUNIT_ASSERT(printed(timeline).find("source answer") != std::string::npos);
        timeline.addLine(R"({"time":"T1","node":"g1","event":"serverLeavingEnded","server":"s1"})");
        CPPUNIT_ASSERT(printed(timeline).find("serverLeavingEnded") != std::string::npos);
    }

    // Guards against a timeline that just stops: a killed process logs no end of its requests. 40
    // requests had none.
    void killedProcessIsReported()
    {
        RequestTimeline timeline("r1");
        timeline.addLine(R"({"time":"T1","node":"g1","event":"started"})");
        timeline.addLine(
            R"({"time":"T2","node":"g1","event":"attempt","request":"r1","server":"s1"})");
        CPPUNIT_ASSERT(printed(timeline).find("do not tell the end") != std::string::npos);
        timeline.addLine(R"({"time":"T3","node":"g2","event":"started"})");
        timeline.addLine(R"({"time":"T4","node":"g1","event":"started"})");
        CPPUNIT_ASSERT(printed(timeline).find("next one started at T4") != std::string::npos);
        timeline.addLine(R"({"time":"T5","node":"g1","event":"request","request":"r1"})");
        CPPUNIT_ASSERT(printed(timeline).find("unfinished") == std::string::npos);
    }

    void requestWithoutLinesIsReported()
    {
        std::ostringstream out;
        CPPUNIT_ASSERT(!RequestTimeline("r1").print(out));
    }

private:
    static std::string printed(const RequestTimeline &timeline)
    {
        std::ostringstream out;
        CPPUNIT_ASSERT(timeline.print(out));
        return out.str();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTimelineTest);
