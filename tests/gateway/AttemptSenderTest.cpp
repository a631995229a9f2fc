#include "AttemptSender.h"
#include "GatewayFixture.h"

#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"

using namespace foxtailring;

// How attempts are sent to servers.
class AttemptSenderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptSenderTest);
    CPPUNIT_TEST(callThatCannotBeRepeatedOutlastsAPause);
    CPPUNIT_TEST(callThatMayBeRepeatedLeavesASilentServer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Packets lost in a pause are sent again after twice the time each, so the acknowledgement of a
    // sound server may come three times as late as its pause is long. Guards against a 502 for a
    // call that its server goes on to execute (inc8).
    void callThatCannotBeRepeatedOutlastsAPause()
    {
        CPPUNIT_ASSERT(unacknowledgedTimeout(CallKind::NonIdempotent)
                       >= 3 * SuspectedCrashes::maxSoundSilence);
    }

    void callThatMayBeRepeatedLeavesASilentServer()
    {
        for (const CallKind kind : {CallKind::Idempotent, CallKind::Stream})
            CPPUNIT_ASSERT(unacknowledgedTimeout(kind) <= SuspectedCrashes::maxSoundSilence);
    }

private:
    static std::chrono::milliseconds unacknowledgedTimeout(CallKind kind)
    {
        WorkerPool pool(1);
        Http1Client client(pool);
        const BackendCodec codec;
        const GatewayRequest request;
        HttpRoute route;
        route.kind = kind;
        route.isResumable = kind == CallKind::Stream;
        const AttemptSender sender(client, codec, request, route, "");
        const auto timeout = sender.exchangeOptions().unacknowledgedTimeout;
        pool.stop();
        return timeout;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptSenderTest);
