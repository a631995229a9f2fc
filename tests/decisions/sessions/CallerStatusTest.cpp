#include "foxtailring/decisions/sessions/CallerStatus.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>
#include <string>

using namespace foxtailring;

namespace {

constexpr bool bothCases[] = {false, true};
const std::set<int> promises {400, 408, 421, 429, 503};

std::string describe(int status, const AnswerOrigin &origin)
{
    return std::to_string(status) + (origin.wasSent ? ", sent" : ", not sent")
        + (origin.isNotRun ? ", not run" : "") + (origin.isIdempotent ? ", idempotent" : "")
        + (origin.hasBegun ? ", begun" : "");
}

std::optional<int> expected(int status, const AnswerOrigin &origin)
{
    if (origin.hasBegun)
        return std::nullopt;
    if (promises.count(status) == 0)
        return status;
    if (!origin.wasSent || origin.isNotRun)
        return status;
    if (status == 400 && origin.isIdempotent)
        return status;
    return 502;
}

} // namespace

class CallerStatusTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerStatusTest);
    CPPUNIT_TEST(everyStatusOfEveryOrigin);
    CPPUNIT_TEST(promisesAreKept);
    CPPUNIT_TEST(otherStatusesArePassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyStatusOfEveryOrigin()
    {
        forEachOrigin([](int status, const AnswerOrigin &origin) {
            CPPUNIT_ASSERT_MESSAGE(describe(status, origin),
                                   expected(status, origin) == callerStatus(status, origin));
        });
    }

    // Guards against a caller that files an order again which has run.
    void promisesAreKept()
    {
        forEachOrigin([](int status, const AnswerOrigin &origin) {
            const auto told = callerStatus(status, origin);
            const bool mayHaveRun = origin.wasSent && !origin.isNotRun;
            if (mayHaveRun && !origin.isIdempotent && told)
                CPPUNIT_ASSERT_MESSAGE(describe(status, origin), !promisesNotRun(*told));
        });
    }

    // Guards against errors of a server that its caller does not learn.
    void otherStatusesArePassedOn()
    {
        for (const int status : {200, 301, 401, 404, 409, 413, 422, 500, 502, 504, 599})
            CPPUNIT_ASSERT_EQUAL(status, *callerStatus(status, {true, false, false, false}));
    }

private:
    template <typename Check>
    static void forEachOrigin(Check check)
    {
        for (int status = 200; status < 600; ++status) {
            for (const bool wasSent : bothCases) {
                for (const bool isNotRun : bothCases) {
                    for (const bool isIdempotent : bothCases) {
                        for (const bool hasBegun : bothCases)
                            check(status, AnswerOrigin {wasSent, isNotRun, isIdempotent, hasBegun});
                    }
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerStatusTest);
