#include "foxtailring/store/ResourceStore.h"
#include "foxtailring/store/Base64.h"
#include "foxtailring/store/EtcdClient.h"
#include "PlatformFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using nlohmann::json;

namespace {

const StoredResource changed {"Model", "a", 0, "ana", "", R"({"versions":["v2"]})"};

json header(const std::string &epoch, int revision)
{
    return {{"cluster_id", epoch}, {"revision", std::to_string(revision)}};
}

json storedPair(int revision)
{
    const StoredResource stored {"Model", "a", 0, "bea", "c1", R"({"versions":["v1"]})"};
    return {{"key", toBase64(ResourceStore::keyOf("Model", "a"))},
            {"value", toBase64(stored.toJson())},
            {"mod_revision", std::to_string(revision)}};
}

std::string rangeReply(const std::string &epoch, int revision)
{
    return json {{"header", header(epoch, revision)}, {"kvs", json::array({storedPair(revision)})}}
        .dump();
}

std::string applied(const std::string &epoch, int revision)
{
    return json {{"header", header(epoch, revision)}, {"succeeded", true}}.dump();
}

} // namespace

class ResourceStoreTest : public PlatformFixture
{
    CPPUNIT_TEST_SUITE(ResourceStoreTest);
    CPPUNIT_TEST(changeExpectsTheEpochThatWasRead);
    CPPUNIT_TEST(revisionOfAnotherEpochIsAConflict);
    CPPUNIT_TEST(deletionOfAnotherEpochIsAConflict);
    CPPUNIT_TEST(restoreBeforeTheWriteIsAConflict);
    CPPUNIT_TEST(unreadableEpochLeavesTheChangeUnsent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        PlatformFixture::setUp();
        m_client.emplace(*m_http, m_service, testDeadline);
        m_store.emplace(*m_pool, *m_client);
    }

    void tearDown() override
    {
        PlatformFixture::tearDown();
        m_store.reset();
        m_client.reset();
    }

    // The cluster id has 64 bits without a sign.
    void changeExpectsTheEpochThatWasRead()
    {
        const std::string epoch = "14841639068965178418";
        ResultMailbox<StoredResource> read;
        m_store->get("Model", "a", read.hook());
        answer(rangeReply(epoch, 5));
        const StoredResource found = read.take().value();
        const StoreRevision revision {found.epoch, found.revision};
        CPPUNIT_ASSERT_EQUAL(epoch + ".5", revision.toString());
        CPPUNIT_ASSERT(StoreRevision::parse(revision.toString()) == revision);

        ResultMailbox<StoredResource> written;
        m_store->put(changed, revision, written.hook());
        answer(rangeReply(epoch, 5));
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/kv/txn"), answer(applied(epoch, 6)).target);
        const StoredResource stored = written.take().value();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), stored.revision);
        CPPUNIT_ASSERT_EQUAL(found.epoch, stored.epoch);
    }

    // Guards against a change that overwrites another one, made after a restore at the same
    // revision.
    void revisionOfAnotherEpochIsAConflict()
    {
        ResultMailbox<StoredResource> written;
        m_store->put(changed, {1, 5}, written.hook());
        const Error error = takeConflict(written);
        CPPUNIT_ASSERT_MESSAGE(error.message,
                               error.message.find("restored from a backup") != std::string::npos);
    }

    // Guards against a deletion of another resource than the operator has seen.
    void deletionOfAnotherEpochIsAConflict()
    {
        ResultMailbox<std::int64_t> removed;
        m_store->remove("Model", "a", {1, 5}, removed.hook());
        takeConflict(removed);
    }

    // Guards against a change that is confirmed although it replaced a restored value.
    void restoreBeforeTheWriteIsAConflict()
    {
        ResultMailbox<std::int64_t> removed;
        m_store->remove("Model", "a", {1, 5}, removed.hook());
        answer(rangeReply("1", 5));
        answer(applied("2", 6));
        const Error error = takeConflict(removed);
        CPPUNIT_ASSERT_MESSAGE(error.message,
                               error.message.find("may have been applied") != std::string::npos);
    }

    // Guards against an outcome that is called unknown although nothing was sent.
    void unreadableEpochLeavesTheChangeUnsent()
    {
        m_client.emplace(*m_http, m_service, std::chrono::milliseconds(50));
        m_store.emplace(*m_pool, *m_client);
        ResultMailbox<StoredResource> written;
        m_store->put(changed, {1, 5}, written.hook());
        CPPUNIT_ASSERT(written.take().error().code == ErrorCode::Unavailable);
    }

private:
    // Answers reads in epoch 2, where the key has the expected revision again; a write would
    // succeed.
    template <typename T>
    Error takeConflict(ResultMailbox<T> &mailbox)
    {
        for (int calls = 0; calls < 3 && mailbox.isEmpty(); ++calls) {
            const PendingRequest pending = m_requests.take();
            if (pending.request.target == "/v3/kv/txn") {
                pending.responder->respond({200, {}, applied("2", 6)});
                break;
            }
            pending.responder->respond({200, {}, rangeReply("2", 5)});
            if (pending.request.body.find("keys_only") == std::string::npos)
                break;
        }
        const auto result = mailbox.take();
        CPPUNIT_ASSERT_MESSAGE("the change was applied", !result.isOk());
        CPPUNIT_ASSERT_MESSAGE(result.error().message, result.error().code == ErrorCode::Conflict);
        return result.error();
    }

    std::optional<EtcdClient> m_client;
    std::optional<ResourceStore> m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResourceStoreTest);
