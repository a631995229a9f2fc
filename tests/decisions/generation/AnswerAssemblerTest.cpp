#include "foxtailring/decisions/generation/AnswerAssembler.h"
#include "foxtailring/decisions/generation/StopScanner.h"
#include "foxtailring/protocol/Tokens.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class AnswerAssemblerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerAssemblerTest);
    CPPUNIT_TEST(overlapIsTrimmed);
    CPPUNIT_TEST(gapIsDropped);
    CPPUNIT_TEST(otherAttemptsAndRequestsAreDropped);
    CPPUNIT_TEST(repeatWithOtherTokensIsDropped);
    CPPUNIT_TEST(tokensBeforeTheFirstOffsetAreTrimmed);
    CPPUNIT_TEST(stopSequenceIsFoundAcrossParts);
    CPPUNIT_TEST_SUITE_END();

    static Tokens message(std::uint64_t offset, const std::string &letters,
                          std::uint32_t attempt = 1, const std::string &request = "r")
    {
        Tokens out {request, attempt, offset, {}};
        for (const char letter : letters)
            out.tokens.push_back(Token {letter, std::string(1, letter)});
        return out;
    }

    static std::string text(std::span<const Token> tokens)
    {
        std::string out;
        for (const auto &token : tokens)
            out += token.text;
        return out;
    }

    static AnswerAssembler assembler(std::uint64_t first = 0)
    {
        AnswerAssembler out("r", first);
        out.openAttempt(1);
        return out;
    }

public:
    // Guards against duplicate tokens in the answer after a reattach that repeats some.
    void overlapIsTrimmed()
    {
        auto answer = assembler();
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), text(answer.accept(message(0, "abc")).added));
        CPPUNIT_ASSERT_EQUAL(std::string("d"), text(answer.accept(message(1, "bcd")).added));
        CPPUNIT_ASSERT(answer.accept(message(0, "abcd")).verdict == TokensVerdict::Duplicate);
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), text(answer.tokens()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), answer.dropped().duplicates);
    }

    // Guards against a missing token in the middle of an answer.
    void gapIsDropped()
    {
        auto answer = assembler();
        answer.accept(message(0, "ab"));
        CPPUNIT_ASSERT(answer.accept(message(3, "d")).verdict == TokensVerdict::Gap);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), answer.nextOffset());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), answer.dropped().gaps);
    }

    // Guards against tokens of an old attempt or another request in the answer.
    void otherAttemptsAndRequestsAreDropped()
    {
        auto answer = assembler();
        answer.accept(message(0, "ab"));
        answer.openAttempt(2);
        CPPUNIT_ASSERT(answer.accept(message(2, "c", 1)).verdict == TokensVerdict::OtherAttempt);
        CPPUNIT_ASSERT(answer.accept(message(2, "c", 2, "s")).verdict
                       == TokensVerdict::ForeignRequest);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), text(answer.tokens()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), answer.dropped().otherAttempts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), answer.dropped().foreignRequests);
    }

    // Guards against an answer mixed from two runs, when a server runs the same attempt twice.
    void repeatWithOtherTokensIsDropped()
    {
        auto answer = assembler();
        answer.accept(message(0, "abc"));
        CPPUNIT_ASSERT(answer.accept(message(1, "bxd")).verdict == TokensVerdict::Mismatch);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), text(answer.tokens()));
    }

    void tokensBeforeTheFirstOffsetAreTrimmed()
    {
        auto answer = assembler(2);
        CPPUNIT_ASSERT_EQUAL(std::string("cd"), text(answer.accept(message(0, "abcd")).added));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), answer.nextOffset());
    }

    // Guards against a new attempt that continues after the caller's stop sequence.
    void stopSequenceIsFoundAcrossParts()
    {
        StopScanner scanner({"", "END.", "\n\n"});
        for (const char *piece : {"the E", "N", "ND", "\n", "x\n"})
            scanner.feed(piece);
        CPPUNIT_ASSERT(!scanner.found());
        scanner.feed("EN");
        scanner.feed("D.");
        CPPUNIT_ASSERT(scanner.found());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerAssemblerTest);
