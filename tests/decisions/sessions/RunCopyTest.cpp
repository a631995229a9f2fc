#include "foxtailring/decisions/sessions/RunCopy.h"

#include "ForwardFixture.h"

using namespace foxtailring;

class RunCopyTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(RunCopyTest);
    CPPUNIT_TEST(copyIsLostWhenItsHolderRestarts);
    CPPUNIT_TEST(lateCopyIsReleasedAtTheEnd);
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

    // Guards against the release of a handle that the run's current snapshot also has.
    void lateCopyIsReleasedAtTheEnd()
    {
        std::vector<std::string> handles;
        RunCopy copy(servers, [&handles](const CopyReference &reference) {
            handles.push_back(reference.handle);
        });
        const BackendState holder = *servers.server("b1", now);
        const std::string maker = info("a1", "a").address;
        copy.addLate({maker, "late", "a1"});
        copy.setSnapshot(holder, {maker, "same", "a1"}, now);
        copy.addLate({maker, "same", "a1"});
        CPPUNIT_ASSERT(handles.empty());
        CPPUNIT_ASSERT(copy.isUsable(now));
        copy.end();
        copy.end();
        CPPUNIT_ASSERT((handles == std::vector<std::string> {"same", "late"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunCopyTest);
