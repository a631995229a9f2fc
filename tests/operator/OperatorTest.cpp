#include "foxtailring/operator/NodeReport.h"
#include "foxtailring/operator/ResourceFile.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class OperatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorTest);
    CPPUNIT_TEST(everyDocumentOfAFileIsRead);
    CPPUNIT_TEST(errorsNameFileAndLine);
    CPPUNIT_TEST(quotedNumbersStayText);
    CPPUNIT_TEST(reportNamesNodesThatLackARevision);
    CPPUNIT_TEST(malformedPeerReportIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyDocumentOfAFileIsRead()
    {
        const auto read = ResourceFile::parse("kind: Model\nname: a\nspec: {versions: [v1]}\n"
                                              "---\nkind: Model\nname: b\nspec: {}\n",
                                              "r.yaml");
        CPPUNIT_ASSERT(read.isOk());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.value().size());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"versions":["v1"]})"), read.value()[0].spec);
    }

    // Guards against an error that does not say where in a large file the problem is.
    void errorsNameFileAndLine()
    {
        const auto read = ResourceFile::parse("kind: Model\nname: a\nspec: {}\n---\n"
                                              "kind: Service\nname: s\nspec:\n  type: plan\n",
                                              "r.yaml");
        CPPUNIT_ASSERT(!read.isOk());
        const std::string &message = read.error().message;
        CPPUNIT_ASSERT_MESSAGE(message, message.starts_with("r.yaml:8: Service/s: spec.type"));
    }

    // Guards against the quoted version "1" being stored as a number.
    void quotedNumbersStayText()
    {
        const auto read =
            ResourceFile::parse("kind: Model\nname: a\nspec: {versions: ['1']}\n", "r.yaml");
        CPPUNIT_ASSERT(read.isOk());
    }

    void reportNamesNodesThatLackARevision()
    {
        const std::vector<NodeStatus> mine = {{"entry-1", "entry", "live", "z", 7},
                                              {"s-1", "sidecar", "live", "z", 5}};
        const std::vector<NodeStatus> theirs = {{"s-1", "sidecar", "live", "z", 7},
                                                {"s-2", "sidecar", "live", "z", 6}};
        NodeReport peer;
        peer.add(theirs);
        NodeReport report;
        report.add(mine);
        CPPUNIT_ASSERT(report.addJson(peer.toJson()));
        CPPUNIT_ASSERT(report.nodesMissing(6).empty());
        CPPUNIT_ASSERT(report.nodesMissing(7) == std::vector<std::string> {"s-2"});
        report.addUnreachable("entry at 127.0.0.1:9", "entry");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), report.nodesMissing(7).size());
    }

    void malformedPeerReportIsRejected()
    {
        NodeReport report;
        CPPUNIT_ASSERT(!report.addJson("{"));
        CPPUNIT_ASSERT(!report.addJson(R"([{"id":7}])"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorTest);
