#include "AnswerReader.h"
#include "ServerAttempt.h"

#include "foxtailring/base/Error.h"
#include "foxtailring/gateway/BackendCodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class AnswerReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerReaderTest);
    CPPUNIT_TEST(onlySignedEventsOfARunAreStreamed);
    CPPUNIT_TEST(emptySuccessIsNoAnswerToARun);
    CPPUNIT_TEST(emptyAnswersAreWholeOtherwise);
    CPPUNIT_TEST(streamThatEndsWithinAnEventIsCutShort);
    CPPUNIT_TEST(eventsAreReadWhenTheyAreComplete);
    CPPUNIT_TEST(oversizedAnswersAreRefused);
    CPPUNIT_TEST(connectionErrorsTellWhatBecameOfTheAttempt);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_codec.decodeAnswer = [](const HttpResponse &response) {
            BackendAnswer answer;
            answer.status = response.status;
            answer.isSigned = !response.header("signed").empty();
            answer.isNotRun = !response.header("full").empty();
            return answer;
        };
    }

    // Guards against passing on, event by event, what no server has signed or what is no stream.
    void onlySignedEventsOfARunAreStreamed()
    {
        const HttpHeader type {"Content-Type", "text/event-stream; charset=utf-8"};
        const HttpHeader signature {"signed", "1"};
        CPPUNIT_ASSERT(read("POST", true, {200, {type, signature}, ""}).isStreaming);
        CPPUNIT_ASSERT(read("POST", true, {200, {type, signature}, ""}).hasHead);
        CPPUNIT_ASSERT(!read("POST", false, {200, {type, signature}, ""}).isStreaming);
        CPPUNIT_ASSERT(!read("POST", true, {200, {type}, ""}).isStreaming);
        CPPUNIT_ASSERT(!read("POST", true, {200, {signature}, ""}).isStreaming);
        CPPUNIT_ASSERT(!read("POST", true, {500, {type, signature}, ""}).isStreaming);
        CPPUNIT_ASSERT(
            !read("POST", true, {200, {type, signature, {"full", "1"}}, ""}).isStreaming);
    }

    // Guards against a caller that gets nothing as the answer to its run.
    void emptySuccessIsNoAnswerToARun()
    {
        const AnswerReader reader(m_codec, "POST", true);
        ServerAttempt attempt = read("POST", true, {200, {{"signed", "1"}}, ""});
        CPPUNIT_ASSERT(reader.isCutShort(attempt));
        CPPUNIT_ASSERT(AnswerReader::readBody(attempt, "x"));
        CPPUNIT_ASSERT(!reader.isCutShort(attempt));
    }

    void emptyAnswersAreWholeOtherwise()
    {
        const HttpResponse empty {200, {{"signed", "1"}}, ""};
        CPPUNIT_ASSERT(
            !AnswerReader(m_codec, "POST", false).isCutShort(read("POST", false, empty)));
        for (const char *method : {"HEAD", "OPTIONS"})
            CPPUNIT_ASSERT(
                !AnswerReader(m_codec, method, true).isCutShort(read(method, true, empty)));
        const AnswerReader reader(m_codec, "POST", true);
        CPPUNIT_ASSERT(!reader.isCutShort(read("POST", true, {204, {}, ""})));
        CPPUNIT_ASSERT(!reader.isCutShort(read("POST", true, {200, {{"full", "1"}}, ""})));
    }

    void streamThatEndsWithinAnEventIsCutShort()
    {
        ServerAttempt attempt = stream();
        const AnswerReader reader(m_codec, "POST", true);
        CPPUNIT_ASSERT(!reader.isCutShort(attempt));
        AnswerReader::readEvents(attempt, "id: 1\ndata: x\n");
        CPPUNIT_ASSERT(reader.isCutShort(attempt));
        AnswerReader::readEvents(attempt, "\n");
        CPPUNIT_ASSERT(!reader.isCutShort(attempt));
    }

    void eventsAreReadWhenTheyAreComplete()
    {
        ServerAttempt attempt = stream();
        const auto events = AnswerReader::readEvents(attempt, "id: 1\ndata: x\n\ndata: y\n\nid: 3");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), events.value().size());
        CPPUNIT_ASSERT(events->front().id == 1);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: x\n\n"), events->front().text);
        CPPUNIT_ASSERT(!events->back().id);
    }

    // Guards against a faulty server that makes this process hold any amount of memory.
    void oversizedAnswersAreRefused()
    {
        ServerAttempt attempt = stream();
        CPPUNIT_ASSERT(!AnswerReader::readEvents(attempt, std::string(2 << 20, 'x')));
        ServerAttempt whole;
        CPPUNIT_ASSERT(AnswerReader::readBody(whole, std::string(16 << 20, 'x')));
        CPPUNIT_ASSERT(!AnswerReader::readBody(whole, "x"));
    }

    // Guards against a second server for a call that may not be repeated, and against a crash that
    // is seen in mere silence.
    void connectionErrorsTellWhatBecameOfTheAttempt()
    {
        CPPUNIT_ASSERT(failureOf(ErrorCode::Unavailable) == AttemptResult::NotSent);
        CPPUNIT_ASSERT(failureOf(ErrorCode::Timeout) == AttemptResult::Silent);
        CPPUNIT_ASSERT(failureOf(ErrorCode::Malformed) == AttemptResult::Invalid);
        CPPUNIT_ASSERT(failureOf(ErrorCode::Closed) == AttemptResult::Lost);
    }

private:
    ServerAttempt read(const std::string &method, bool isRun, HttpResponse head) const
    {
        ServerAttempt attempt;
        AnswerReader(m_codec, method, isRun).readHead(attempt, std::move(head));
        return attempt;
    }

    ServerAttempt stream() const
    {
        return read("POST", true,
                    {200, {{"Content-Type", "text/event-stream"}, {"signed", "1"}}, ""});
    }

    static AttemptResult failureOf(ErrorCode code)
    {
        return AnswerReader::failureOf(Error {code, ""});
    }

    BackendCodec m_codec;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerReaderTest);
