#include "foxtailring/decisions/membership/HistoryProof.h"
#include "foxtailring/decisions/membership/PollPacing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace foxtailring;

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms runTime {120000};
constexpr Ms roundTrip {12};
constexpr Ms keyRevocation {5000};
// Each gateway renews what it tells the others of itself about every ten seconds.
constexpr int writesPerGateway = 12;
constexpr int serverChangesPerSecond = 5;
constexpr std::size_t eventBytes = 300;

struct Gateway
{
    HistoryProof proof;
    TimePoint pollAt;
    Ms wait {1};
    std::int64_t revision = 0;
};

struct FleetCost
{
    double callsPerSecond = 0; ///< of one gateway: polls and questions for the newest revision
    double questionShare = 0;  ///< of these
    double bytesPerSecond = 0; ///< read by one gateway
    Duration proofAge {};      ///< the oldest one seen
};

} // namespace

/// Simulates gateways that follow a store in which servers and the gateways themselves write.
class FleetFollowingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetFollowingTest);
    CPPUNIT_TEST(fleetsTakeOnePollForAllChangesOfAnInterval);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a price that grows with the changes: 2,063 calls in 61 s of 28 gateways, 1.2 a
    // second each, with questions, reads and polls at once after common changes. Proofs must not
    // get older for it: keys stay usable for 0.6 of their time without the store.
    void fleetsTakeOnePollForAllChangesOfAnInterval()
    {
        for (const std::size_t gateways : {28U, 350U}) {
            const FleetCost cost = follow(gateways);
            CPPUNIT_ASSERT(cost.callsPerSecond < 0.65);
            CPPUNIT_ASSERT(cost.questionShare < 0.2);
            CPPUNIT_ASSERT(cost.bytesPerSecond < 1.2 * eventBytes * changesPerSecond(gateways));
            CPPUNIT_ASSERT(cost.proofAge <= keyRevocation * 38 / 100);
        }
    }

private:
    static double changesPerSecond(std::size_t gateways)
    {
        const double seconds = std::chrono::duration<double>(runTime).count();
        return serverChangesPerSecond + static_cast<double>(gateways) * writesPerGateway / seconds;
    }

    std::int64_t revisionAt(TimePoint time, double perSecond) const
    {
        const double seconds = std::chrono::duration<double>(time - m_start).count();
        return 1 + static_cast<std::int64_t>(seconds * perSecond);
    }

    FleetCost follow(std::size_t count) const
    {
        const double perSecond = changesPerSecond(count);
        FleetCost cost;
        for (std::size_t number = 0; number < count; ++number)
            followOne(number, perSecond, cost);
        const double total =
            std::chrono::duration<double>(runTime).count() * static_cast<double>(count);
        cost.questionShare /= cost.callsPerSecond;
        cost.callsPerSecond /= total;
        cost.bytesPerSecond /= total;
        return cost;
    }

    // Adds calls and bytes to \a cost.
    void followOne(std::size_t number, double perSecond, FleetCost &cost) const
    {
        Gateway gateway {{}, m_start + Ms(number * 7 % 1850)};
        gateway.revision = revisionAt(gateway.pollAt, perSecond);
        gateway.proof.recordNoChanges(gateway.revision, gateway.pollAt);
        TimePoint writesAt = gateway.pollAt + Ms(number * 37 % 10000);
        while (gateway.pollAt < m_start + runTime) {
            for (; writesAt + roundTrip < gateway.pollAt; writesAt += runTime / writesPerGateway)
                gateway.proof.recordNewest(revisionAt(writesAt, perSecond), writesAt,
                                           writesAt + roundTrip);
            poll(gateway, perSecond, cost);
        }
    }

    void poll(Gateway &gateway, double perSecond, FleetCost &cost) const
    {
        const TimePoint askedAt = gateway.pollAt;
        const PollPacing::Poll sent {askedAt, m_pacing.pollWait(gateway.proof.provedAt(), askedAt)};
        TimePoint answeredAt = askedAt + roundTrip;
        if (gateway.proof.needsNewest()) {
            ++cost.questionShare;
            ++cost.callsPerSecond;
            gateway.proof.recordNewest(revisionAt(askedAt, perSecond), askedAt, answeredAt);
        }
        while (revisionAt(answeredAt, perSecond) == gateway.revision
               && answeredAt < askedAt + sent.wait + roundTrip)
            answeredAt += Ms(1);
        const std::int64_t changes = revisionAt(answeredAt, perSecond) - gateway.revision;
        gateway.revision += changes;
        cost.proofAge = std::max(cost.proofAge, answeredAt - gateway.proof.provedAt());
        if (changes > 0)
            gateway.proof.recordFewChanges(gateway.revision, askedAt);
        else
            gateway.proof.recordNoChanges(gateway.revision,
                                          m_pacing.confirmedUntil(sent, answeredAt));
        ++cost.callsPerSecond;
        cost.bytesPerSecond += static_cast<double>(changes) * eventBytes;
        gateway.pollAt = m_pacing.nextPollAt(changes > 0, gateway.proof.provedAt(), answeredAt);
    }

    const TimePoint m_start {std::chrono::hours(1)};
    const PollPacing m_pacing = PollPacing::forBounds(Ms(4000), keyRevocation);
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetFollowingTest);
