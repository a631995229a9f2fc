#include "foxtailring/gateway/RolloutWitnessCodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class RolloutWitnessCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutWitnessCodecTest);
    CPPUNIT_TEST(witnessesAreRead);
    CPPUNIT_TEST(otherBytesAreMalformed);
    CPPUNIT_TEST(witnessOfAllRoutesIsSmall);
    CPPUNIT_TEST_SUITE_END();

    static VersionRow row(std::uint64_t count)
    {
        VersionRow one;
        one.failures = count;
        for (int bucket = 20; bucket < 26; ++bucket)
            one.times.add(bucket, count);
        one.open.add(30, 2);
        return one;
    }

    static Rollouts::Witnesses witnesses()
    {
        VersionWitness witness;
        witness.version = "v2";
        witness.order = {3, 77};
        witness.isMoved = true;
        witness.rows[{"r", false, ""}] = row(400);
        witness.rows[{"r", true, "zone-a"}] = row(3);
        return {{"engine", witness}};
    }

public:
    void witnessesAreRead()
    {
        const auto decoded = RolloutWitnessCodec::decode(RolloutWitnessCodec::encode(witnesses()));
        CPPUNIT_ASSERT(decoded.isOk());
        CPPUNIT_ASSERT(decoded.value() == witnesses());
    }

    // Guards against another writer's value that ends the process or counts as evidence.
    void otherBytesAreMalformed()
    {
        const std::string good = RolloutWitnessCodec::encode(witnesses());
        for (std::size_t size = 0; size < good.size(); ++size)
            CPPUNIT_ASSERT(!RolloutWitnessCodec::decode(good.substr(0, size)).isOk());
        CPPUNIT_ASSERT(!RolloutWitnessCodec::decode(std::string(1024 * 1024, '\x80')).isOk());
        CPPUNIT_ASSERT(!RolloutWitnessCodec::decode("{}").isOk());
    }

    // Guards against witnesses that use up the links of a fleet: all gateways read all of them.
    void witnessOfAllRoutesIsSmall()
    {
        VersionWitness witness;
        for (const char *aspect : {"r-k6bxty4", "r-k6bxty4#pace", "r-y8x7n2q", "r-y8x7n2q#pace"}) {
            witness.rows[{aspect, false, ""}] = row(200);
            for (const char *zone :
                 {"praha-a", "brno-a", "ostrava-a", "plzen-b", "olomouc-b", "opava-b"})
                witness.rows[{aspect, true, zone}] = row(2);
        }
        CPPUNIT_ASSERT(RolloutWitnessCodec::encode({{"engine", witness}}).size() < 1600);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutWitnessCodecTest);
