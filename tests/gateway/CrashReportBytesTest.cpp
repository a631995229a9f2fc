#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/membership/FleetBudget.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/protocol/RequestDigest.h"

#include "CrashReportCodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace foxtailring;

namespace {

using Ms = std::chrono::milliseconds;

// Gateways whose servers restart in waves, or are crashed by a deadly request. All requests share a
// few parts. Counts the bytes of crash reports that one gateway reads.
class ReportingFleet
{
public:
    struct Scenario
    {
        std::size_t gateways = 12;
        Duration crashInterval = Ms(500); ///< between servers that end
        bool isDeadly = false;            ///< one request is at each crash
    };

    explicit ReportingFleet(const Scenario &scenario)
        : m_scenario(scenario)
    {
        for (std::size_t i = 0; i < scenario.gateways; ++i) {
            Gateway &gateway = m_gateways.emplace_back(m_random.generateDouble());
            gateway.budget.setProcessCount(scenario.gateways);
            RequestQuarantine::Hooks hooks;
            hooks.clearingDelay = [this] { return random(Ms(2000)); };
            hooks.massFailureDelay = [this, &gateway] {
                return random(
                    std::chrono::duration_cast<Ms>(gateway.budget.spread(usualReportBytes)));
            };
            gateway.quarantine.setHooks(std::move(hooks));
            after(random(stepInterval), [this, i] { step(i); });
        }
        after(Ms(0), [this] { crashServer(); });
        after(Ms(0), [this] { answerHotParts(); });
    }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
    }

    /// Most bytes in ten seconds, for each second of them.
    std::size_t mostBytesPerSecond() const { return m_mostBytes / 10; }

    std::size_t gatewaysThatRefuse(const std::string &suspect) const
    {
        const std::vector<std::string> request {"hot-0", suspect};
        return static_cast<std::size_t>(
            std::count_if(m_gateways.begin(), m_gateways.end(), [&](const Gateway &gateway) {
                return !gateway.quarantine.quarantinedSuspect(request, m_now).empty();
            }));
    }

    static std::string deadlyDigest() { return digestOf("deadly"); }

private:
    struct Gateway
    {
        explicit Gateway(double phase)
            : budget(8000, phase)
        {
        }

        RequestQuarantine quarantine;
        FleetBudget budget;
    };

    static constexpr Ms stepInterval {250};
    static constexpr std::size_t usualReportBytes = 1500;
    static constexpr std::size_t requestsPerServer = 8;
    static constexpr std::size_t hotParts = 4;

    static std::string digestOf(std::string_view content)
    {
        return RequestDigest::of(std::span(&content, 1));
    }

    Ms random(Ms bound)
    {
        return Ms(m_random.bounded(static_cast<std::uint64_t>(bound.count()) + 1));
    }
    void after(Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    void crashServer()
    {
        after(m_scenario.crashInterval, [this] { crashServer(); });
        const std::string server = "engine-" + std::to_string(++m_crashes) + "@1";
        for (std::size_t i = 0; i < requestsPerServer; ++i)
            lose(server, newRequest());
        if (m_scenario.isDeadly)
            lose(server, {"hot-0", deadlyDigest()});
    }

    std::vector<std::string> newRequest()
    {
        const std::string number = std::to_string(++m_requests);
        return {"hot-" + std::to_string(m_random.bounded(hotParts)), "session-" + number,
                "own-" + number, digestOf(number)};
    }

    // Most are answered elsewhere, by the gateway that lost them.
    void lose(const std::string &server, const std::vector<std::string> &suspects)
    {
        const std::size_t number = m_random.bounded(m_gateways.size());
        RequestQuarantine &quarantine = m_gateways[number].quarantine;
        if (!quarantine.quarantinedSuspect(suspects, m_now).empty())
            return;
        quarantine.recordCrash(server, suspects, {"engines", m_now, CrashEvidence::Reset, 0, {}},
                               m_now);
        if (suspects.back() == deadlyDigest() || m_random.bounded(4) == 0)
            return;
        after(Ms(200) + random(Ms(1300)), [this, number, suspects] {
            m_gateways[number].quarantine.recordStart(suspects, m_now);
        });
    }

    void answerHotParts()
    {
        after(Ms(500), [this] { answerHotParts(); });
        for (Gateway &gateway : m_gateways) {
            const std::vector<std::string> suspects {"hot-"
                                                     + std::to_string(m_random.bounded(hotParts))};
            gateway.quarantine.recordStart(suspects, m_now);
        }
    }

    void step(std::size_t number)
    {
        after(stepInterval, [this, number] { step(number); });
        Gateway &gateway = m_gateways[number];
        gateway.quarantine.expire(m_now);
        if (!gateway.budget.mayWriteUrgent(m_now))
            return;
        const auto report = gateway.quarantine.takeDueReport(m_now, gateway.budget.mayWrite(m_now));
        if (!report)
            return;
        const auto shared = std::make_shared<const CrashReport>(*report);
        const std::size_t bytes = FleetBudget::wireBytes(CrashReportCodec::encode(*report).size());
        gateway.budget.recordWrite(bytes, m_now);
        countBytes(bytes);
        after(Ms(50) + random(Ms(450)), [this, number, shared, bytes, writtenAt = m_now] {
            for (std::size_t reader = 0; reader < m_gateways.size(); ++reader)
                read(number, reader, *shared, bytes, writtenAt);
        });
    }

    void read(std::size_t reporter, std::size_t reader, const CrashReport &report,
              std::size_t bytes, TimePoint writtenAt)
    {
        m_gateways[reader].budget.recordRead(bytes, m_now);
        if (reader != reporter)
            m_gateways[reader].quarantine.applyReport(
                report, m_now, {std::to_string(reporter), std::min(writtenAt, m_now - Ms(500))});
    }

    void countBytes(std::size_t bytes)
    {
        m_written.emplace_back(m_now, bytes);
        m_windowBytes += bytes;
        while (m_now - m_written.front().first >= std::chrono::seconds(10)) {
            m_windowBytes -= m_written.front().second;
            m_written.pop_front();
        }
        m_mostBytes = std::max(m_mostBytes, m_windowBytes);
    }

    const Scenario m_scenario;
    RandomSource m_random {1};
    TimePoint m_now {std::chrono::hours(1)};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::deque<Gateway> m_gateways;
    std::deque<std::pair<TimePoint, std::size_t>> m_written; ///< of the last ten seconds
    std::size_t m_windowBytes = 0;
    std::size_t m_mostBytes = 0;
    std::size_t m_crashes = 0;
    std::size_t m_requests = 0;
};

} // namespace

class CrashReportBytesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashReportBytesTest);
    CPPUNIT_TEST(wavesOfRestartsKeepToTheBudget);
    CPPUNIT_TEST(deadlyRequestIsFoundWithinTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reports whose volume grows with gateways, crashes and suspects at once: 180 KB
    // a second were written by 32 gateways in planned restarts.
    void wavesOfRestartsKeepToTheBudget()
    {
        for (const std::size_t gateways : {12, 33, 350}) {
            ReportingFleet fleet({gateways, Ms(250), false});
            fleet.run(std::chrono::seconds(30));
            const std::size_t bytes = fleet.mostBytesPerSecond();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) + " gateways: " + std::to_string(bytes),
                                   bytes <= 8000);
        }
    }

    // Guards against a budget that hides what decides.
    void deadlyRequestIsFoundWithinTheBudget()
    {
        for (const std::size_t gateways : {12, 33, 350}) {
            ReportingFleet fleet({gateways, Ms(700), true});
            fleet.run(std::chrono::seconds(12));
            const std::string text = std::to_string(gateways)
                + " gateways: " + std::to_string(fleet.mostBytesPerSecond()) + " bytes, refused by "
                + std::to_string(fleet.gatewaysThatRefuse(ReportingFleet::deadlyDigest()));
            CPPUNIT_ASSERT_MESSAGE(text, fleet.mostBytesPerSecond() <= 8000);
            CPPUNIT_ASSERT_MESSAGE(
                text, fleet.gatewaysThatRefuse(ReportingFleet::deadlyDigest()) == gateways);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReportBytesTest);
