#include "foxtailring/decisions/configuration/ConfigState.h"

#include "foxtailring/protocol/ConfigUpdate.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class ConfigStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigStateTest);
    CPPUNIT_TEST(revisionNeverDecreases);
    CPPUNIT_TEST(restoredStoreReplacesTheConfiguration);
    CPPUNIT_TEST(endedEpochDoesNotComeBack);
    CPPUNIT_TEST(epochThatIsNotKnownToHaveEndedIsTaken);
    CPPUNIT_TEST(deltaOfAnotherEpochIsRefused);
    CPPUNIT_TEST(deltaWithGapIsRefused);
    CPPUNIT_TEST(updatesFromAnyBaseLeadToTheSameSnapshot);
    CPPUNIT_TEST(unreadableResourceKeepsTheLastValue);
    CPPUNIT_TEST(validationListsEveryError);
    CPPUNIT_TEST_SUITE_END();

    static ResourceDelta model(const std::string &name, std::int64_t revision,
                               const std::string &spec = R"({"versions":["v1"]})")
    {
        const StoredResource resource {"Model", name, revision, "operator", "change", spec};
        return ResourceDelta {"Model", name, revision, resource.toJson(), false};
    }

    static ConfigUpdate update(std::int64_t base, std::int64_t revision,
                               std::vector<ResourceDelta> deltas)
    {
        ConfigUpdate made;
        made.baseRevision = base;
        made.revision = revision;
        made.resources = std::move(deltas);
        return made;
    }

    static ConfigUpdate inEpoch(std::int64_t epoch, ConfigUpdate made,
                                std::vector<std::int64_t> earlier = {})
    {
        made.epoch = epoch;
        made.earlierEpochs = std::move(earlier);
        return made;
    }

public:
    // Guards against a delayed old update, from a watch or a peer, that reverts the configuration.
    void revisionNeverDecreases()
    {
        ConfigState state;
        CPPUNIT_ASSERT(state.apply(update(0, 9, {model("a", 9)})).isOk());
        CPPUNIT_ASSERT(state.apply(update(0, 4, {model("old", 4)})).isOk());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), state.revision());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), state.snapshot()->models.count("old"));
    }

    // Guards against a configuration that stays in force until the restored store has passed its
    // revision.
    void restoredStoreReplacesTheConfiguration()
    {
        ConfigState state;
        CPPUNIT_ASSERT(state.apply(inEpoch(1, update(0, 9, {model("lost", 9)}))).isOk());
        CPPUNIT_ASSERT(state.apply(inEpoch(2, update(0, 4, {model("a", 4)}), {1})).isOk());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), state.revision());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), state.snapshot()->models.count("lost"));
        const ConfigUpdate full = state.updateSince(9, 1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), full.baseRevision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), full.resources.size());
    }

    // Guards against an entry that has not noticed the restore and pushes what it had.
    void endedEpochDoesNotComeBack()
    {
        ConfigState entry;
        CPPUNIT_ASSERT(entry.apply(inEpoch(1, update(0, 9, {}))).isOk());
        CPPUNIT_ASSERT(entry.apply(inEpoch(2, update(0, 4, {model("a", 4)}), {1})).isOk());
        ConfigState sidecar;
        CPPUNIT_ASSERT(sidecar.apply(entry.updateSince(0, 0)).isOk());
        CPPUNIT_ASSERT(sidecar.apply(inEpoch(1, update(0, 50, {model("lost", 9)}))).isOk());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), sidecar.revision());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), sidecar.snapshot()->models.count("lost"));
    }

    // Guards against a node that keeps an ended epoch because it never saw the change.
    void epochThatIsNotKnownToHaveEndedIsTaken()
    {
        ConfigState sidecar;
        CPPUNIT_ASSERT(sidecar.apply(inEpoch(2, update(0, 4, {}))).isOk());
        CPPUNIT_ASSERT(sidecar.apply(inEpoch(1, update(0, 9, {}))).isOk());
        CPPUNIT_ASSERT(sidecar.apply(inEpoch(2, update(0, 4, {}), {1})).isOk());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), sidecar.revision());
    }

    // Guards against a snapshot put together from two histories of the store.
    void deltaOfAnotherEpochIsRefused()
    {
        ConfigState state;
        CPPUNIT_ASSERT(state.apply(inEpoch(1, update(0, 9, {}))).isOk());
        const auto result = state.apply(inEpoch(2, update(4, 10, {model("a", 10)})));
        CPPUNIT_ASSERT(!result.isOk() && result.error().code == ErrorCode::Stale);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), state.snapshot()->models.count("a"));
    }

    // Guards against a node that missed a change and still advances its revision.
    void deltaWithGapIsRefused()
    {
        ConfigState state;
        CPPUNIT_ASSERT(state.apply(update(0, 5, {model("a", 5)})).isOk());
        const auto result = state.apply(update(7, 8, {model("b", 8)}));
        CPPUNIT_ASSERT(!result.isOk());
        CPPUNIT_ASSERT(result.error().code == ErrorCode::Stale);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), state.revision());
    }

    // Guards against deltas and full updates that lead to different snapshots.
    void updatesFromAnyBaseLeadToTheSameSnapshot()
    {
        ConfigState source;
        CPPUNIT_ASSERT(source.apply(update(0, 2, {model("a", 1), model("b", 2)})).isOk());
        CPPUNIT_ASSERT(source.apply(update(2, 5, {model("c", 5)})).isOk());
        ResourceDelta deleted {"Model", "a", 6, "", true};
        CPPUNIT_ASSERT(source.apply(update(5, 6, {deleted})).isOk());
        for (const std::int64_t base : {0, 2, 5}) {
            ConfigState target;
            CPPUNIT_ASSERT(target.apply(update(0, 2, {model("a", 1), model("b", 2)})).isOk());
            if (base >= 5)
                CPPUNIT_ASSERT(target.apply(update(2, 5, {model("c", 5)})).isOk());
            CPPUNIT_ASSERT(target.apply(source.updateSince(base, 0)).isOk());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(6), target.revision());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), target.snapshot()->models.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), target.snapshot()->models.count("a"));
        }
        CPPUNIT_ASSERT(source.updateSince(6, 0).resources.empty());
    }

    void unreadableResourceKeepsTheLastValue()
    {
        ConfigState state;
        CPPUNIT_ASSERT(state.apply(update(0, 1, {model("a", 1)})).isOk());
        const std::string bad = R"({"versions":7})";
        CPPUNIT_ASSERT(state.apply(update(1, 2, {model("a", 2, bad)})).isOk());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.snapshot()->models.at("a").versions.size());
    }

    // Guards against a message that shows the operator only the first error.
    void validationListsEveryError()
    {
        const StoredResource resource {
            "Service", "lector", 0, "", "", R"({"type":"plan","latencyWeight":3,"modles":[]})"};
        const auto result = resource.validate();
        CPPUNIT_ASSERT(!result.isOk());
        const std::string message = result.error().message;
        CPPUNIT_ASSERT(message.find("spec.type: \"plan\"; allowed: generation or plain")
                       != std::string::npos);
        CPPUNIT_ASSERT(message.find("spec.latencyWeight: 3") != std::string::npos);
        CPPUNIT_ASSERT(message.find("spec.modles: []; allowed: this field is not known")
                       != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStateTest);
