#include "foxtailring/decisions/RunCopy.h"

#include "ForwardFixture.h"

using namespace foxtailring;

class RunCopyTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(RunCopyTest);
    CPPUNIT_TEST(copyIsLostWhenItsHolderRestarts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    // Guards against resuming from a copy at an engine that restarted under the same id.
    void copyIsLostWhenItsHolderRestarts()
    {
        RunCopy copy(servers, {});
        copy.setHolder(*servers.server("a1", now));
        CPPUNIT_ASSERT(copy.isUsable(now));
        BackendInfo restarted = info("a1", "a");
        servers.put(restarted, now);
        CPPUNIT_ASSERT(copy.isUsable(now));
        restarted.startedAtMs = 2;
        servers.put(restarted, now);
        CPPUNIT_ASSERT(!copy.isUsable(now));
        CPPUNIT_ASSERT(!copy.takeResumeAttempt(now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunCopyTest);
