#include "foxtailring/protocol/Frame.h"
#include "foxtailring/protocol/FrameReader.h"
#include "foxtailring/protocol/ResumeToken.h"
#include "foxtailring/protocol/Tokens.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

using namespace foxtailring;

class ProtocolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProtocolTest);
    CPPUNIT_TEST(framesDecodeFromSingleBytes);
    CPPUNIT_TEST(malformedFramesAreErrors);
    CPPUNIT_TEST(claimedSizesReserveNoMemory);
    CPPUNIT_TEST(resumeTokenRoundTrips);
    CPPUNIT_TEST(forgedResumeTokenIsRejected);
    CPPUNIT_TEST_SUITE_END();

    static Tokens sampleTokens()
    {
        Tokens tokens;
        tokens.requestId = "r";
        tokens.attempt = 2;
        tokens.offset = 7;
        tokens.tokens = {Token {1, "a"}, Token {2, "b"}};
        return tokens;
    }

    static long peakKilobytes()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    }

public:
    // Guards against lost or duplicated messages when a connection delivers bytes one at a time.
    void framesDecodeFromSingleBytes()
    {
        const std::string bytes = encodeMessage(sampleTokens()) + encodeMessage(sampleTokens());
        FrameReader reader;
        std::vector<Frame> frames;
        for (const char byte : bytes) {
            auto completed = reader.feed(std::string_view(&byte, 1));
            CPPUNIT_ASSERT(completed.isOk());
            for (auto &frame : completed.value())
                frames.push_back(std::move(frame));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), frames.size());
        const auto tokens = decodeMessage<Tokens>(frames[1]);
        CPPUNIT_ASSERT(tokens.isOk());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), tokens.value().offset);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), tokens.value().tokens[1].text);
    }

    // Guards against a faulty peer that crashes the process or makes it allocate without bound.
    void malformedFramesAreErrors()
    {
        CPPUNIT_ASSERT(!FrameReader().feed(std::string("\xff\xff\xff\xff\x01", 5)).isOk());
        CPPUNIT_ASSERT(!FrameReader().feed(std::string("\0\0\0\0\x7f", 5)).isOk());
        CPPUNIT_ASSERT(!decodeMessage<Tokens>(Frame {MessageType::Tokens, "\xc1"}).isOk());
        CPPUNIT_ASSERT(!decodeMessage<Tokens>(Frame {MessageType::Tokens, "\x01"}).isOk());
        CPPUNIT_ASSERT(!decodeMessage<Tokens>(Frame {MessageType::Failed, "\x80"}).isOk());
    }

    // Guards against a peer whose frame claims large arrays in arrays: each level reserved them.
    void claimedSizesReserveNoMemory()
    {
        std::string body;
        for (int i = 0; i < 50'000; ++i)
            body += std::string_view("\xdd\x00\x00\x10\x00", 5); // an array of 4096 elements
        const long before = peakKilobytes();
        CPPUNIT_ASSERT(!decodeMessage<Tokens>(Frame {MessageType::Tokens, body}).isOk());
        CPPUNIT_ASSERT(peakKilobytes() - before < 64 * 1024);
    }

    void resumeTokenRoundTrips()
    {
        const ResumeToken token {"req", "account", "service", 3, "127.0.0.1:9", 41};
        const auto verified = ResumeToken::verify(token.sign("secret"), "secret");
        CPPUNIT_ASSERT(verified.isOk());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9"), verified.value().serverAddress);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(41), verified.value().nextOffset);
    }

    // Guards against a caller that edits a token to read the answer of another client account.
    void forgedResumeTokenIsRejected()
    {
        const std::string text =
            ResumeToken {"req", "account", "s", 3, "127.0.0.1:9", 41}.sign("k");
        CPPUNIT_ASSERT(!ResumeToken::verify(text, "other").isOk());
        for (std::size_t i = 0; i < text.size(); ++i) {
            std::string changed = text;
            changed[i] = changed[i] == 'A' ? 'B' : 'A';
            const auto result = ResumeToken::verify(changed, "k");
            // Changing the unused bits in the last base64 character leaves the token valid.
            if (result.isOk())
                CPPUNIT_ASSERT_EQUAL(std::string("account"), result.value().account);
        }
        CPPUNIT_ASSERT(!ResumeToken::verify("", "k").isOk());
        CPPUNIT_ASSERT(!ResumeToken::verify("a.b", "k").isOk());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProtocolTest);
