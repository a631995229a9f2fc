#include "foxtailring/sidecar/ClaimStore.h"

#include "PlatformFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class ClaimStoreTest : public PlatformFixture
{
    CPPUNIT_TEST_SUITE(ClaimStoreTest);
    CPPUNIT_TEST(swapOfAnExistingDocumentSucceeds);
    CPPUNIT_TEST(conflictOfAnExistingDocumentIsNoError);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a claim that is taken for unknown although the service applied it.
    void swapOfAnExistingDocumentSucceeds()
    {
        const auto result =
            swap(R"({"header":{"cluster_id":"7","revision":"6"},"succeeded":true})");
        CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().message, result.isOk());
        CPPUNIT_ASSERT(result.value().swapped);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), result.value().present.revision.number);
    }

    void conflictOfAnExistingDocumentIsNoError()
    {
        const auto result = swap(R"({"header":{"cluster_id":"7","revision":"9"},"responses":[
            {"response_range":{"kvs":[{"key":"Yg==","value":"dg==","mod_revision":"8"}]}}]})");
        CPPUNIT_ASSERT_MESSAGE(result ? "" : result.error().message, result.isOk());
        CPPUNIT_ASSERT(!result.value().swapped);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), result.value().present.revision.number);
    }

private:
    // Swaps a document that was read at revision 5 from a service without epochs; it answers with
    // \a reply.
    Result<BucketSwap> swap(const std::string &reply)
    {
        const ClaimStore store =
            ClaimStore::overKeyValueService(std::make_shared<Http1Client>(*m_pool), m_service);
        ResultMailbox<BucketSwap> swapped;
        store.swapBucket("b", "w", {0, 5}, swapped.hook());
        answer(reply);
        return swapped.take();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimStoreTest);
