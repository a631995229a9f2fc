#include "Http1RequestReader.h"

#include "foxtailring/transport/RequestMemory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

namespace {

/// Allows limitBytes, and tells the latest size.
class ReportedSize : public RequestMemory
{
public:
    explicit ReportedSize(std::size_t &bytes)
        : m_bytes(bytes)
    {
    }
    bool tryResize(std::size_t bytes) override
    {
        if (bytes > limitBytes)
            return false;
        m_bytes = bytes;
        return true;
    }
    void onArrived() override { }
    HttpResponse refuse() override { return {503, {}, ""}; }

    static constexpr std::size_t limitBytes = 50'000;

private:
    std::size_t &m_bytes;
};

} // namespace

class Http1RequestReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Http1RequestReaderTest);
    CPPUNIT_TEST(requestMayComeInPieces);
    CPPUNIT_TEST(followingBytesAreHeldForTheNextRequest);
    CPPUNIT_TEST(largeRequestsAreRefused);
    CPPUNIT_TEST(memoryBoundsWhatFollows);
    CPPUNIT_TEST(releasedReaderHoldsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_reader.begin(); }

    void requestMayComeInPieces()
    {
        for (const char byte : std::string("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nb"))
            CPPUNIT_ASSERT(!parse({&byte, 1}));
        CPPUNIT_ASSERT(m_reader.hasHead());
        CPPUNIT_ASSERT(!m_reader.isDone());
        CPPUNIT_ASSERT_EQUAL(std::string("/a"), m_reader.head().target);
        CPPUNIT_ASSERT(!parse("c"));
        CPPUNIT_ASSERT(m_reader.isDone());
        CPPUNIT_ASSERT_EQUAL(std::string("bc"), m_reader.take().body);
    }

    // Guards against pipelined requests that are lost or run into each other.
    void followingBytesAreHeldForTheNextRequest()
    {
        CPPUNIT_ASSERT(!parse("GET /a HTTP/1.1\r\n\r\nHEAD /b HTTP/1.0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("/a"), m_reader.take().target);
        CPPUNIT_ASSERT(!m_reader.isReading());
        m_reader.begin();
        CPPUNIT_ASSERT(!m_reader.hasStarted());
        CPPUNIT_ASSERT(!m_reader.parse());
        CPPUNIT_ASSERT(m_reader.responseFraming().headOnly);
        CPPUNIT_ASSERT_EQUAL(10U, m_reader.responseFraming().version);
        CPPUNIT_ASSERT_EQUAL(std::string("/b"), m_reader.take().target);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_reader.inputSize());
    }

    void largeRequestsAreRefused()
    {
        HttpLimits limits;
        limits.maxHeaderBytes = 100;
        limits.maxBodyBytes = 10;
        m_reader.setLimits(limits);
        CPPUNIT_ASSERT_EQUAL(431, parse("GET /" + std::string(200, 'a'))->status);
        m_reader.release();
        m_reader.begin();
        m_reader.setLimits(limits);
        CPPUNIT_ASSERT_EQUAL(413, parse("PUT / HTTP/1.1\r\nContent-Length: 11\r\n\r\n")->status);
    }

    // Guards against callers that fill the memory behind requests that take long.
    void memoryBoundsWhatFollows()
    {
        CPPUNIT_ASSERT(!parse("GET /a HTTP/1.1\r\n\r\n"));
        const HttpRequest request = m_reader.take();
        CPPUNIT_ASSERT(request.memory);
        m_reader.append(std::string(HttpLimits {}.maxHeaderBytes, 'x'));
        m_reader.holdFollowing();
        CPPUNIT_ASSERT(!m_reader.isFull());
        CPPUNIT_ASSERT_EQUAL(m_reader.inputSize(), m_heldBytes);
        m_reader.append(std::string(HttpLimits {}.maxHeaderBytes, 'x'));
        m_reader.holdFollowing();
        CPPUNIT_ASSERT(m_reader.isFull());
    }

    void releasedReaderHoldsNothing()
    {
        CPPUNIT_ASSERT(!parse("GET /a HTTP/1.1\r\nA: b\r\n"));
        CPPUNIT_ASSERT(m_heldBytes > 0);
        m_reader.append("rest");
        m_reader.release();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_reader.inputSize());
        CPPUNIT_ASSERT(!m_reader.isReading());
    }

private:
    std::optional<HttpResponse> parse(std::string_view bytes)
    {
        m_reader.append(bytes);
        return m_reader.parse();
    }

    std::size_t m_heldBytes = 0;
    const Http1RequestReader::MemoryHook m_memoryHook = [this] {
        return std::make_shared<ReportedSize>(m_heldBytes);
    };
    Http1RequestReader m_reader {HttpLimits {}, m_memoryHook};
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1RequestReaderTest);
