#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

using namespace foxtailring;

namespace {

const std::string lengthResponse =
    "HTTP/1.1 200 OK\r\nName: value\r\nContent-Length: 5\r\n\r\nwhole";
const std::string chunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Name\r\n\r\n"
    "2;extension=value\r\nwh\r\n3\r\nole\r\n0\r\nName: value\r\n\r\n";
const std::string interimResponse = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + lengthResponse;
const std::string emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string unframedHead = "HTTP/1.1 200 OK\r\nName: value\r\n\r\n";

} // namespace

// Responses that end too early, at every byte, by a close or a reset of the connection.
class TruncatedResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TruncatedResponseTest);
    CPPUNIT_TEST(everyPrefixIsAnError);
    CPPUNIT_TEST(everyPrefixIsAnErrorOnAUsedConnection);
    CPPUNIT_TEST(prefixOfAnUnframedHeadIsAnError);
    CPPUNIT_TEST(unframedBodyMayNotEndByAReset);
    CPPUNIT_TEST(resetDuringTheRequestEndsNoUnframedBody);
    CPPUNIT_TEST(unframedBodyEndsByAClose);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(2);
        m_client.emplace(*m_pool);
    }

    void tearDown() override
    {
        m_pool->stop();
        m_client.reset();
        m_pool.reset();
    }

    // Guards against a response that is taken for whole although its server stopped in the head, a
    // chunk header, a chunk, the trailer or before the last line break.
    void everyPrefixIsAnError()
    {
        for (const std::string &response :
             {lengthResponse, chunkedResponse, interimResponse, emptyResponse}) {
            for (std::size_t size = 0; size < response.size(); ++size) {
                assertError(response.substr(0, size), false);
                assertError(response.substr(0, size), true);
            }
            CPPUNIT_ASSERT_MESSAGE(response, exchange(response, false).isOk());
        }
    }

    // Guards against a used connection that ends like an empty response.
    void everyPrefixIsAnErrorOnAUsedConnection()
    {
        m_options = ExchangeOptions::pooled();
        for (std::size_t size = 0; size < lengthResponse.size(); ++size) {
            const auto box = request();
            RawPeer peer = m_server.accept();
            peer.readUntil("\r\n\r\n");
            peer.write(lengthResponse);
            CPPUNIT_ASSERT(box->take().isOk());
            const auto second = request();
            peer.readUntil("\r\n\r\n");
            peer.write(lengthResponse.substr(0, size));
            peer.close();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(size), !second->take().isOk());
        }
    }

    // Guards against a head that counts as whole because no length was read yet.
    void prefixOfAnUnframedHeadIsAnError()
    {
        for (std::size_t size = 0; size < unframedHead.size(); ++size) {
            assertError(unframedHead.substr(0, size), false);
            assertError(unframedHead.substr(0, size), true);
        }
    }

    void unframedBodyMayNotEndByAReset()
    {
        assertError(unframedHead, true);
        assertError(unframedHead + "who", true);
    }

    // Guards against a reset that the pending write takes, so that the read sees an orderly end.
    void resetDuringTheRequestEndsNoUnframedBody()
    {
        m_requestBody.assign(std::size_t {16} * 1024 * 1024, 'x');
        for (int round = 0; round < 20; ++round) {
            assertError(unframedHead, true);
            assertError(unframedHead + "who", true);
        }
    }

    // HTTP/1.1 allows it: RFC 9112, section 6.3.
    void unframedBodyEndsByAClose()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("whole"),
                             exchange(unframedHead + "whole", false).value().body);
    }

private:
    using Box = std::shared_ptr<Mailbox<Result<HttpResponse>>>;

    Box request()
    {
        auto box = std::make_shared<Mailbox<Result<HttpResponse>>>();
        m_client->request(
            {"127.0.0.1", m_server.port()}, {"GET", "/", {}, m_requestBody}, testDeadline,
            [box](Result<HttpResponse> answer) { box->put(std::move(answer)); }, m_options);
        return box;
    }

    // Sends \a bytes in response to a request, then ends the connection.
    Result<HttpResponse> exchange(const std::string &bytes, bool isReset)
    {
        const auto box = request();
        RawPeer peer = m_server.accept();
        peer.readUntil("\r\n\r\n");
        peer.write(bytes);
        if (isReset)
            peer.reset();
        else
            peer.close();
        return box->take();
    }

    void assertError(const std::string &bytes, bool isReset)
    {
        const std::string what = (isReset ? "reset after " : "closed after ") + bytes;
        CPPUNIT_ASSERT_MESSAGE(what, !exchange(bytes, isReset).isOk());
    }

    RawServer m_server;
    std::string m_requestBody;
    ExchangeOptions m_options;
    std::optional<WorkerPool> m_pool;
    std::optional<Http1Client> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedResponseTest);
