#include "foxtailring/store/VmListClient.h"

#include "PlatformFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

namespace {

const std::string sidecar = R"({"id":"vm-1","address":"10.0.0.1:7000","region":"Asturias",
    "availabilityZone":"oviedo-a","service":"lector-esquemas","role":"sidecar","state":"leaving"})";

std::string replaceFirst(std::string text, std::string_view from, std::string_view to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

class VmListClientTest : public PlatformFixture
{
    CPPUNIT_TEST_SUITE(VmListClientTest);
    CPPUNIT_TEST(listIsDecoded);
    CPPUNIT_TEST(malformedListsAreRejected);
    CPPUNIT_TEST(failedRequestIsUnavailable);
    CPPUNIT_TEST_SUITE_END();

public:
    void listIsDecoded()
    {
        ResultMailbox<std::vector<Vm>> mailbox;
        VmListClient(*m_http, m_service).list(mailbox.hook());
        const HttpRequest request = answer(R"({"vms":[)" + sidecar + R"(,{"id":"vm-2",
            "address":"10.0.0.2:8000","region":"Asturias","availabilityZone":"oviedo-a",
            "role":"entry","state":"live"}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("GET /v1/vms"), request.method + ' ' + request.target);
        const std::vector<Vm> vms = mailbox.take().value();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), vms.size());
        CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), vms[0].id);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7000"), vms[0].address);
        CPPUNIT_ASSERT_EQUAL(std::string("Asturias"), vms[0].region);
        CPPUNIT_ASSERT_EQUAL(std::string("oviedo-a"), vms[0].availabilityZone);
        CPPUNIT_ASSERT_EQUAL(std::string("lector-esquemas"), vms[0].service);
        CPPUNIT_ASSERT(!vms[0].isEntry && vms[0].isLeaving);
        CPPUNIT_ASSERT(vms[1].isEntry && !vms[1].isLeaving && vms[1].service.empty());
    }

    // Guards against servers that seem to be gone because the list was truncated or misread.
    void malformedListsAreRejected()
    {
        const std::string complete = R"({"vms":[)" + sidecar + "]}";
        CPPUNIT_ASSERT(VmListClient::parse(complete).isOk());
        const std::string lists[] = {"",
                                     "[]",
                                     "{}",
                                     R"({"vms":[5]})",
                                     complete.substr(0, complete.size() - 1),
                                     replaceFirst(complete, R"("id":"vm-1",)", ""),
                                     replaceFirst(complete, R"("vm-1")", "1"),
                                     replaceFirst(complete, R"("leaving")", R"("asleep")"),
                                     replaceFirst(complete, R"("sidecar")", R"("engine")")};
        for (const std::string &list : lists) {
            ResultMailbox<std::vector<Vm>> mailbox;
            VmListClient(*m_http, m_service).list(mailbox.hook());
            answer(list);
            const auto result = mailbox.take();
            CPPUNIT_ASSERT_MESSAGE(list, !result && result.error().code == ErrorCode::Malformed);
        }
    }

    void failedRequestIsUnavailable()
    {
        ResultMailbox<std::vector<Vm>> mailbox;
        VmListClient(*m_http, m_service).list(mailbox.hook());
        answer("", 500);
        CPPUNIT_ASSERT(mailbox.take().error().code == ErrorCode::Unavailable);
        m_server->close();
        Http1Client freshClient(*m_pool); // has no kept-alive connection that the server is closing
        VmListClient(freshClient, m_service).list(mailbox.hook());
        CPPUNIT_ASSERT(mailbox.take().error().code == ErrorCode::Unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmListClientTest);
