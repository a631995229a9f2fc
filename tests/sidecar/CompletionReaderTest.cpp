#include "foxtailring/sidecar/CompletionReader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace foxtailring;

// Reads what a faulty engine may send in place of its events.
class CompletionReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompletionReaderTest);
    CPPUNIT_TEST(deepNestingIsMalformed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one event that ends the process: copying or writing a value takes stack for
    // each of its levels.
    void deepNestingIsMalformed()
    {
        const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
        for (const std::string &event : {"{\"choices\":" + deep + "}", "{\"error\":" + deep + "}",
                                         "{\"choices\":[{\"token_ids\":" + deep + "}]}",
                                         "{\"choices\":[{\"text\":" + deep + "}]}", deep}) {
            CompletionReader reader;
            const auto chunks = reader.feed("data: " + event + "\n\n");
            CPPUNIT_ASSERT(!chunks);
            CPPUNIT_ASSERT(chunks.error().code == ErrorCode::Malformed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionReaderTest);
