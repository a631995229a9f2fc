#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace foxtailring;
using std::chrono::milliseconds;

namespace {

// More than the buffers of a connection take.
constexpr std::size_t uploadBytes = std::size_t {8} * 1024 * 1024;
constexpr milliseconds pauseBetweenSteps {20};
constexpr int rounds = 3; // the order in which the client sees an end varies

const std::string okLine = "HTTP/1.1 200 OK\r\n";
const std::string interimHead = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string keptResponse = okLine + "Content-Length: 4\r\n\r\nkept";

/// How the server ends the connection after a part of its response.
enum class End : std::uint8_t {
    Reset,
    CloseWithUnreadInput, ///< the system sends a reset in place of an orderly end
    OutputThenReset,      ///< an orderly end of the output, then a reset
};

const char *endName(End end)
{
    switch (end) {
    case End::Reset:
        return "reset";
    case End::CloseWithUnreadInput:
        return "close";
    case End::OutputThenReset:
        return "output, then reset";
    }
    return "";
}

} // namespace

// A server that responds before it has read a long request, and then ends the connection.
class EarlyResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlyResponseTest);
    CPPUNIT_TEST(partOfAnEarlyResponseIsNoResponse);
    CPPUNIT_TEST(partOfAnEarlyResponseEndsNoStream);
    CPPUNIT_TEST(partOnAUsedConnectionIsNoResponse);
    CPPUNIT_TEST(unframedResponseAfterTheWholeRequestIsComplete);
    CPPUNIT_TEST(framedEarlyResponseIsComplete);
    CPPUNIT_TEST(earlyRejectionWithoutALengthIsPassedOn);
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

    // Guards against a part of a response that is taken for a complete one, since the error of the
    // reset goes to the pending write and the read sees an end.
    void partOfAnEarlyResponseIsNoResponse()
    {
        forEachPart([this](const std::string &part, End end, const std::string &what) {
            m_options = ExchangeOptions();
            const auto box = request();
            RawPeer peer = m_server.accept();
            respondEarly(peer, part, end);
            CPPUNIT_ASSERT_MESSAGE(what, !box->take().isOk());
        });
    }

    void partOfAnEarlyResponseEndsNoStream()
    {
        forEachPart([this](const std::string &part, End end, const std::string &what) {
            const auto box = std::make_shared<Mailbox<bool>>();
            StreamHooks hooks;
            hooks.onHead = [](const HttpResponse &) {};
            hooks.onBody = [](std::string_view) {};
            hooks.onClosed = [box](const Result<Done> &result) { box->put(result.isOk()); };
            m_client->stream(endpoint(), upload(), std::move(hooks), ExchangeOptions::pooled());
            RawPeer peer = m_server.accept();
            respondEarly(peer, part, end);
            CPPUNIT_ASSERT_MESSAGE(what, !box->take());
        });
    }

    void partOnAUsedConnectionIsNoResponse()
    {
        m_options = ExchangeOptions::pooled();
        forEachPart([this](const std::string &part, End end, const std::string &what) {
            const auto first = request("");
            RawPeer peer = m_server.accept();
            peer.readUntil("\r\n\r\n");
            peer.write(keptResponse);
            CPPUNIT_ASSERT(first->take().isOk());
            const auto second = request();
            respondEarly(peer, part, end);
            CPPUNIT_ASSERT_MESSAGE(what, !second->take().isOk());
        });
    }

    // RFC 9112, section 6.3. Guards against failing what arrived whole.
    void unframedResponseAfterTheWholeRequestIsComplete()
    {
        for (const bool isPooled : {false, true}) {
            m_options = isPooled ? ExchangeOptions::pooled() : ExchangeOptions();
            const auto box = request();
            RawPeer peer = m_server.accept();
            peer.readUntil("\r\n\r\n");
            peer.write(okLine + "\r\nwhole");
            peer.shutdownOutput();
            peer.readAll();
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), box->take().value().body);
        }
    }

    // A server may reject a request that it has not read.
    void framedEarlyResponseIsComplete()
    {
        for (const bool isPooled : {false, true}) {
            m_options = isPooled ? ExchangeOptions::pooled() : ExchangeOptions();
            const auto box = request();
            RawPeer peer = m_server.accept();
            peer.readUntil("\r\n\r\n");
            peer.write(okLine + "Content-Length: 5\r\n\r\nwhole");
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), box->take().value().body);
        }
    }

    // Guards against a rejection that its caller does not learn.
    void earlyRejectionWithoutALengthIsPassedOn()
    {
        const auto box = request();
        RawPeer peer = m_server.accept();
        peer.readUntil("\r\n\r\n");
        peer.write("HTTP/1.1 413 Content Too Large\r\n\r\nlong");
        peer.shutdownOutput();
        CPPUNIT_ASSERT_EQUAL(413, box->take().value().status);
    }

private:
    using Box = std::shared_ptr<Mailbox<Result<HttpResponse>>>;
    using Play = std::function<void(const std::string &part, End end, const std::string &what)>;

    static void forEachPart(const Play &play)
    {
        const std::string chunked = okLine + "Transfer-Encoding: chunked\r\n\r\n";
        for (const std::string &part :
             {std::string(okLine + "\r\n"), okLine + "\r\npart", interimHead + okLine + "\r\npart",
              std::string("HTTP/1.0 200 OK\r\n\r\npart"), okLine + "Connection: close\r\n\r\npart",
              okLine + "Content-Length: 9\r\n\r\npart", chunked + "4\r\npart\r\n"}) {
            for (const End end : {End::Reset, End::CloseWithUnreadInput, End::OutputThenReset}) {
                for (int round = 0; round < rounds; ++round)
                    play(part, end, part + " " + endName(end) + " " + std::to_string(round));
            }
        }
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_server.port()}; }
    static HttpRequest upload() { return {"POST", "/", {}, std::string(uploadBytes, 'x')}; }

    Box request(const std::optional<std::string> &body = std::nullopt)
    {
        auto box = std::make_shared<Mailbox<Result<HttpResponse>>>();
        HttpRequest sent = upload();
        if (body)
            sent.body = *body;
        m_client->request(
            endpoint(), std::move(sent), testDeadline,
            [box](Result<HttpResponse> answer) { box->put(std::move(answer)); }, m_options);
        return box;
    }

    // Each second part is sent in the same instant as the end, the others a moment before it.
    void respondEarly(RawPeer &peer, const std::string &part, End end)
    {
        peer.readUntil("\r\n\r\n");
        peer.write(part);
        m_pauses = !m_pauses;
        if (m_pauses)
            std::this_thread::sleep_for(pauseBetweenSteps);
        if (end == End::OutputThenReset) {
            peer.shutdownOutput();
            if (m_pauses)
                std::this_thread::sleep_for(pauseBetweenSteps);
        }
        if (end == End::CloseWithUnreadInput)
            peer.close();
        else
            peer.reset();
    }

    RawServer m_server;
    bool m_pauses = false;
    ExchangeOptions m_options;
    std::optional<WorkerPool> m_pool;
    std::optional<Http1Client> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyResponseTest);
