#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/quarantine/CrashChecks.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/protocol/RequestDigest.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

namespace {

// Sanitizers slow a fleet down sixtyfold. The program without them plays everything.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr std::array<std::size_t, 1> fleetsOfClocks {12};
constexpr std::array<std::size_t, 1> fleetsOfPauses {12};
constexpr std::array<std::size_t, 1> fleetsOfSeries {4};
#else
constexpr std::array<std::size_t, 2> fleetsOfClocks {12, 350};
constexpr std::array<std::size_t, 3> fleetsOfPauses {12, 33, 350};
constexpr std::array<std::size_t, 3> fleetsOfSeries {4, 12, 33};
#endif

} // namespace

// Many processes, engines that crash at a deadly part, and a store that passes reports on late. The
// users allow three requests with the part to reach engines later than a stable window after the
// fifth crash.
class PromptQuarantineSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptQuarantineSimulationTest);
    CPPUNIT_TEST(fleetsStopADeadlyPart);
    CPPUNIT_TEST(fleetsStopADeadlyPartWhileZonesFail);
    CPPUNIT_TEST(fleetsStopTwoDeadlyParts);
    CPPUNIT_TEST(zoneFailuresAloneQuarantineNothing);
    CPPUNIT_TEST(zoneFailuresAccuseNobodyWhereClocksDiffer);
    CPPUNIT_TEST(zoneFailuresInSeriesAccuseNobodyWithoutTheStore);
    CPPUNIT_TEST(deadlyPartIsStoppedWhileZonesFailInSeries);
    CPPUNIT_TEST(deadlyPartIsStoppedWhereClocksDiffer);
    CPPUNIT_TEST(deadlyPartIsStoppedBesidePauses);
    CPPUNIT_TEST(darkCrashesAreStoppedBesidePauses);
    CPPUNIT_TEST(soundRequestsAreServedBesideADeadlyPart);
    CPPUNIT_TEST(soundRequestsAreServedBesideDarkCrashes);
    CPPUNIT_TEST(pausesAloneQuarantineNothing);
    CPPUNIT_TEST(partThatIsNoLongerDeadlyComesBack);
    CPPUNIT_TEST_SUITE_END();

    struct Scenario
    {
        std::size_t processes = 4;
        double deadlyPerSecond = 0.4;
        double soundPerSecond = 5;
        std::size_t deadlyParts = 1;
        bool hasZoneFailures = false;
        std::uint64_t seed = 1;
        std::chrono::milliseconds clockDifference {0}; ///< at most, between two processes
        bool hasClockSteps = false;
        std::size_t maxAttempts = 5;
        std::size_t processesPerFailure = 3; ///< of so many, one sees an engine fail in its zone
        bool isDeadlyFirst = false; ///< in its prompt, before a part that sound requests share
        bool isDark = false;        ///< engines that crash close no connection
        bool hasPauses = false;     ///< sound engines are silent for 0.8 to 1.3 s
        std::chrono::milliseconds zoneFailureInterval {6000};
        bool hasOwnParts = false; ///< no two sound requests share a part
        bool hasStore = true;     ///< false: no reports are exchanged
    };

    struct Result
    {
        std::size_t crashes = 0;
        std::size_t lateDeadly = 0; ///< sent over 3 s after the fifth crash of their part
        std::size_t sound = 0;
        std::size_t soundRejected = 0;
        std::size_t soundEnded = 0; ///< by a quarantine, with attempts left
        std::size_t deadlyRejected = 0;
        std::size_t harmlessRejected = 0; ///< with a part that is not deadly any more
    };

    struct Request
    {
        std::size_t process = 0;
        std::vector<std::string> parts;
        bool isDeadly = false;
        std::size_t attempts = 0;
        TimePoint beginsAt; ///< when its engine begins to answer
        std::string engine; ///< one start of it
        std::size_t engineNumber = 0;
        bool isSuspected = false; ///< its engine is silent
    };

    struct Report
    {
        std::shared_ptr<const CrashReport> report;
        std::size_t reader = 0;
        std::string reporter;
    };

    static constexpr auto tick = 50ms;
    static constexpr std::size_t engineCount = 24;
    static constexpr std::size_t zoneCount = 3; ///< engine n is in zone n modulo this
    static constexpr auto maxReportDelay = 1500ms;
    static constexpr auto suspicionDelay = 500ms; ///< of silence
    static constexpr auto darkTime = 3s;          ///< until a crashed engine is back
    static constexpr auto zoneDownTime = 1200ms;  ///< until engines answer checks again

    class Fleet
    {
    public:
        explicit Fleet(const Scenario &scenario)
            : m_scenario(scenario)
            , m_random(scenario.seed)
        {
            for (std::size_t i = 0; i < scenario.processes; ++i) {
                m_processes.emplace_back();
                m_checks.emplace_back(m_table, m_random).setHooks({askHook(i), nullptr});
                m_suspicions.emplace_back(m_processes.back(), &m_checks.back());
                m_processes.back().setHooks(
                    {nullptr, nullptr, nullptr, [i](std::string_view) { return i == 0; }});
                setClock(i);
            }
            for (std::size_t engine = 0; engine < engineCount; ++engine)
                m_table.put(infoOf(engine), m_now);
        }

        /// \param deadlyFor how long the parts crash engines
        Result run(Duration time, Duration deadlyFor)
        {
            const TimePoint end = m_now + time;
            const TimePoint deadlyEnd = m_now + deadlyFor;
            for (; m_now < end; m_now += tick) {
                m_isDeadly = m_now < deadlyEnd;
                if (m_scenario.hasClockSteps && isDue(500ms))
                    setClock(m_random.bounded(m_processes.size()));
                if (m_scenario.hasZoneFailures && isDue(m_scenario.zoneFailureInterval))
                    failZone();
                if (m_scenario.hasPauses && isDue(5s))
                    pauseZone();
                bringBack();
                answerChecks();
                probeSuspects();
                arrive(m_scenario.deadlyPerSecond, true);
                arrive(m_scenario.soundPerSecond, false);
                begin();
                exchangeReports();
            }
            return m_result;
        }

    private:
        void setClock(std::size_t process)
        {
            const auto steps = static_cast<std::uint64_t>(m_scenario.clockDifference / 100ms);
            if (steps > 0)
                m_processes[process].setUnixOffset(m_random.bounded(steps + 1) * 100ms);
        }

        bool isDue(Duration interval) const { return m_now.time_since_epoch() % interval < tick; }

        void arrive(double perSecond, bool isDeadly)
        {
            if (m_random.generateDouble()
                >= perSecond * std::chrono::duration<double>(tick).count())
                return;
            Request request;
            request.process = m_random.bounded(m_processes.size());
            request.isDeadly = isDeadly;
            request.parts = {"shared-" + std::to_string(m_random.bounded(3))};
            if (m_scenario.hasOwnParts && !isDeadly)
                request.parts = {"own-" + std::to_string(m_result.sound)};
            if (isDeadly)
                request.parts.insert(
                    m_scenario.isDeadlyFirst ? request.parts.begin() : request.parts.end(),
                    "deadly-" + std::to_string(m_random.bounded(m_scenario.deadlyParts)));
            // No two requests are the same.
            const std::string content = std::to_string(++m_requests);
            const std::string_view field = content;
            request.parts.push_back(RequestDigest::of(std::span(&field, 1)));
            m_result.sound += isDeadly ? 0 : 1;
            const bool isRejected = m_processes[request.process].admit(request.parts, m_now)
                == RequestQuarantine::Admission::Rejected;
            if (isRejected)
                ++(!isDeadly        ? m_result.soundRejected
                       : m_isDeadly ? m_result.deadlyRejected
                                    : m_result.harmlessRejected);
            else
                send(std::move(request));
        }

        void send(Request request)
        {
            const auto &crashes = m_crashes[deadlyPartOf(request)];
            if (request.isDeadly && m_isDeadly && crashes.size() >= 5 && m_now > crashes[4] + 3s)
                ++m_result.lateDeadly;
            ++request.attempts;
            std::size_t engine = m_random.bounded(engineCount);
            // Engines are asked for their load first, so those that do not answer are avoided.
            for (std::size_t tries = 0; isSilent(engine) && tries < engineCount; ++tries)
                engine = m_random.bounded(engineCount);
            request.engine = nameOf(engine);
            request.engineNumber = engine;
            request.isSuspected = false;
            request.beginsAt = m_now + 300ms + m_random.bounded(1200) * 1ms;
            m_running.push_back(std::move(request));
        }

        std::string nameOf(std::size_t engine)
        {
            return SuspectedCrashes::incarnationOf(infoOf(engine));
        }

        std::string deadlyPartOf(const Request &request) const
        {
            return m_scenario.isDeadlyFirst ? request.parts.front()
                                            : request.parts[request.parts.size() - 2];
        }

        BackendInfo infoOf(std::size_t engine)
        {
            BackendInfo info;
            info.id = std::to_string(engine);
            info.service = "engine";
            info.address = "10.0.0.1:" + std::to_string(8000 + engine);
            info.availabilityZone = "zone-" + std::to_string(engine % zoneCount);
            info.startedAtMs = static_cast<std::int64_t>(m_starts[engine]) + 1;
            return info;
        }

        bool isSilent(std::size_t engine) { return m_now < m_silentUntil[engine]; }

        // Sound engines lose their paths for a while.
        void pauseZone()
        {
            const std::size_t zone = m_random.bounded(zoneCount);
            const auto time = 800ms + m_random.bounded(500) * 1ms;
            for (std::size_t engine = zone; engine < engineCount; engine += zoneCount) {
                if (!isSilent(engine)) {
                    m_silentSince[engine] = m_now;
                    m_silentUntil[engine] = m_now + time;
                }
            }
        }

        void goDark(std::size_t engine)
        {
            m_silentSince[engine] = m_now;
            m_silentUntil[engine] = m_now + darkTime;
            m_dark.insert(engine);
        }

        void bringBack()
        {
            std::erase_if(m_dark, [this](std::size_t engine) {
                if (isSilent(engine))
                    return false;
                ++m_starts[engine];
                m_table.put(infoOf(engine), m_now);
                return true;
            });
        }

        void probeSuspects()
        {
            for (SuspectedCrashes &suspicions : m_suspicions) {
                suspicions.update(m_table, m_now);
                if (!isDue(250ms))
                    continue;
                for (const BackendState &server : suspicions.takeDueProbes(m_table, m_now)) {
                    const std::size_t engine = std::stoul(server.info.id);
                    if (!isSilent(engine))
                        suspicions.recordReport(server.info.id, infoOf(engine).startedAtMs, m_now);
                    suspicions.recordProbed(server.info, m_now);
                }
            }
        }

        // The request goes on elsewhere unless its prompt is quarantined, as in StreamSession.
        void waitForSilent(Request request)
        {
            RequestQuarantine &process = m_processes[request.process];
            SuspectedCrashes &suspicions = m_suspicions[request.process];
            const std::size_t engine = request.engineNumber;
            const bool isNewStart = request.engine != nameOf(engine);
            if (!isNewStart && !isSilent(engine)) {
                suspicions.recordReport(infoOf(engine).id, infoOf(engine).startedAtMs, m_now);
                request.isSuspected = false;
                m_running.push_back(std::move(request));
                return;
            }
            if (!isNewStart && m_now - m_silentSince[engine] < suspicionDelay) {
                m_running.push_back(std::move(request));
                return;
            }
            BackendInfo info = infoOf(engine);
            info.startedAtMs -= isNewStart ? 1 : 0;
            if (!std::exchange(request.isSuspected, true)) {
                process.recordFailure(SuspectedCrashes::incarnationOf(info), {},
                                      m_silentSince[engine], m_now);
                suspicions.suspect(info, request.parts, m_silentSince[engine], m_now);
            }
            if (request.attempts >= m_scenario.maxAttempts || suspicions.hasCrashed(info))
                return;
            if (process.quarantinedSuspect(request.parts, m_now).empty())
                send(std::move(request));
            else
                m_running.push_back(std::move(request));
        }

        void begin()
        {
            const std::deque<Request> running = std::exchange(m_running, {});
            for (const Request &request : running) {
                const bool isCrash = request.isDeadly && m_isDeadly && request.beginsAt <= m_now
                    && request.engine == nameOf(request.engineNumber)
                    && !isSilent(request.engineNumber);
                if (isCrash && !m_failed.contains(request.engine)) {
                    ++m_result.crashes;
                    m_crashes[deadlyPartOf(request)].push_back(m_now);
                    if (m_scenario.isDark)
                        goDark(request.engineNumber);
                    else
                        m_failed.insert(request.engine);
                    m_downUntil[request.engineNumber] = m_now + darkTime;
                }
            }
            for (const Request &request : running) {
                RequestQuarantine &process = m_processes[request.process];
                if (m_failed.contains(request.engine)) {
                    process.recordFailure(request.engine, m_now);
                    m_suspicions[request.process].recordReset(infoOf(request.engineNumber),
                                                              request.parts, false, m_now);
                    sendAgain(request);
                } else if (isSilent(request.engineNumber) || request.isSuspected
                           || request.engine != nameOf(request.engineNumber)) {
                    waitForSilent(request);
                } else if (request.beginsAt <= m_now) {
                    process.recordStart(request.parts, m_now);
                } else {
                    m_running.push_back(request);
                }
            }
            for (std::size_t engine = 0; engine < engineCount; ++engine) {
                if (!m_failed.contains(nameOf(engine)))
                    continue;
                ++m_starts[engine];
                m_table.put(infoOf(engine), m_now);
            }
            m_failed.clear();
        }

        void sendAgain(const Request &request)
        {
            if (request.attempts >= m_scenario.maxAttempts)
                return;
            if (m_processes[request.process].quarantinedSuspect(request.parts, m_now).empty())
                send(request);
            else
                m_result.soundEnded += request.isDeadly ? 0 : 1;
        }

        struct Question
        {
            std::size_t process;
            std::uint64_t number;
            std::vector<BackendState> servers;
        };

        std::function<void(std::uint64_t, std::vector<BackendState>)> askHook(std::size_t process)
        {
            return [this, process](std::uint64_t number, std::vector<BackendState> servers) {
                m_questions.push_back({process, number, std::move(servers)});
            };
        }

        // One tick after the question.
        void answerChecks()
        {
            const std::deque<Question> questions = std::exchange(m_questions, {});
            for (const Question &question : questions) {
                std::vector<ServerProbeResult> reports;
                for (const BackendState &server : question.servers) {
                    const std::size_t engine = std::stoul(server.info.id);
                    if (isSilent(engine) || m_now < m_downUntil[engine])
                        continue;
                    ServerProbeResult &report = reports.emplace_back();
                    report.serverId = server.info.id;
                    report.startedAtMs = infoOf(engine).startedAtMs;
                }
                m_checks[question.process].recordAnswers(question.number, question.servers, reports,
                                                         m_now);
            }
        }

        // A third of the engines; each process sees those that it has streams at.
        void failZone()
        {
            const std::size_t zone = m_random.bounded(zoneCount);
            for (std::size_t engine = zone; engine < engineCount; engine += zoneCount) {
                m_failed.insert(nameOf(engine));
                m_downUntil[engine] = m_now + zoneDownTime;
                for (RequestQuarantine &process : m_processes) {
                    if (m_random.bounded(m_scenario.processesPerFailure) == 0)
                        process.recordFailure(nameOf(engine), m_now);
                }
            }
        }

        void exchangeReports()
        {
            if (!m_scenario.hasStore)
                return;
            for (std::size_t i = 0; i < m_processes.size(); ++i) {
                m_processes[i].expire(m_now);
                auto report = isDue(250ms) ? m_processes[i].takeDueReport(m_now) : std::nullopt;
                if (report)
                    publish(std::make_shared<const CrashReport>(std::move(*report)), i);
            }
            const auto due = m_reports.extract(m_now);
            if (due.empty())
                return;
            for (const Report &report : due.mapped())
                m_processes[report.reader].applyReport(*report.report, m_now,
                                                       {report.reporter, m_now - maxReportDelay});
        }

        void publish(const std::shared_ptr<const CrashReport> &report, std::size_t reporter)
        {
            for (std::size_t reader = 0; reader < m_processes.size(); ++reader) {
                if (reader == reporter)
                    continue;
                const auto delay = m_random.bounded(maxReportDelay.count()) * 1ms;
                const TimePoint readAt = m_now + (delay + tick - 1ms) / tick * tick;
                m_reports[readAt].push_back({report, reader, std::to_string(reporter)});
            }
        }

        const Scenario m_scenario;
        RandomSource m_random;
        std::deque<RequestQuarantine> m_processes;
        BackendTable m_table;
        std::deque<CrashChecks> m_checks;               ///< by process
        std::deque<SuspectedCrashes> m_suspicions;      ///< by process
        std::deque<Question> m_questions;               ///< of the checks
        std::map<std::size_t, TimePoint> m_silentSince; ///< by engine
        std::map<std::size_t, TimePoint> m_silentUntil;
        std::map<std::size_t, TimePoint> m_downUntil; ///< by engine; it answers no check
        std::set<std::size_t> m_dark; ///< engines that have crashed and are not back
        std::deque<Request> m_running;
        std::map<TimePoint, std::vector<Report>> m_reports; ///< by the tick in which they are read
        std::map<std::string, std::vector<TimePoint>> m_crashes; ///< by part
        std::map<std::size_t, std::size_t> m_starts;             ///< of each engine
        std::set<std::string> m_failed;                          ///< in this tick
        TimePoint m_now {1h};
        bool m_isDeadly = true;
        Result m_result;
        std::size_t m_requests = 0;
    };

public:
    void fleetsStopADeadlyPart() { assertStopped(false, 1); }
    // Guards against zone failures that hide a deadly part.
    void fleetsStopADeadlyPartWhileZonesFail() { assertStopped(true, 1); }
    void fleetsStopTwoDeadlyParts() { assertStopped(false, 2); }

    // Guards against rejecting sound requests because their engines fail for another reason.
    void zoneFailuresAloneQuarantineNothing()
    {
        for (const std::size_t processes : {4, 33}) {
            const Result result = Fleet({processes, 0, 20, 1, true, 7}).run(60s, 0s);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), result.soundRejected);
        }
    }

    // Guards against two moments that differing clocks make out of the loss of one zone.
    void zoneFailuresAccuseNobodyWhereClocksDiffer()
    {
        for (Scenario scenario : scenariosOfClocks()) {
            scenario.deadlyPerSecond = 0;
            scenario.soundPerSecond = 8;
            scenario.processesPerFailure = 30;
            const Result result = Fleet(scenario).run(30s, 0s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(textOf(scenario, result), std::size_t(0),
                                         result.soundRejected);
        }
    }

    // Zones fail every 1.2 s, and each process has a few requests there. Guards against sound
    // requests that are ended because two of their servers failed with their zones (inc8).
    void zoneFailuresInSeriesAccuseNobodyWithoutTheStore()
    {
        for (const Scenario &scenario : scenariosOfSeries()) {
            if (scenario.deadlyPerSecond > 0)
                continue;
            const Result result = Fleet(scenario).run(30s, 0s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(textOf(scenario, result), std::size_t(0),
                                         result.soundEnded + result.soundRejected);
        }
    }

    // Guards against a deadly part that hides behind zones that fail.
    void deadlyPartIsStoppedWhileZonesFailInSeries()
    {
        for (const Scenario &scenario : scenariosOfSeries()) {
            if (scenario.deadlyPerSecond > 0 && scenario.hasStore)
                assertStopped(scenario);
        }
    }

    void deadlyPartIsStoppedWhereClocksDiffer()
    {
        for (const Scenario &scenario : scenariosOfClocks())
            assertStopped(scenario);
    }

    void deadlyPartIsStoppedBesidePauses() { assertDeadlyIsStopped(false); }
    // Guards against crashes that are not found because pauses hide them.
    void darkCrashesAreStoppedBesidePauses() { assertDeadlyIsStopped(true); }
    // Guards against refusing sound requests that share a part with deadly ones.
    void soundRequestsAreServedBesideADeadlyPart() { assertSoundIsServed(false); }
    // Guards against pauses that are taken for crashes.
    void soundRequestsAreServedBesideDarkCrashes() { assertSoundIsServed(true); }

    void pausesAloneQuarantineNothing()
    {
        for (Scenario scenario : scenariosOfPauses()) {
            scenario.deadlyPerSecond = 0;
            const Result result = Fleet(scenario).run(30s, 0s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(textOf(scenario, result), std::size_t(0),
                                         result.soundRejected);
        }
    }

    void partThatIsNoLongerDeadlyComesBack()
    {
        Fleet fleet({4, 2, 5, 1, false, 3});
        CPPUNIT_ASSERT(fleet.run(20s, 20s).deadlyRejected > 0);
        const Result before = fleet.run(60s, 0s);
        const Result after = fleet.run(20s, 0s);
        CPPUNIT_ASSERT(before.harmlessRejected > 0);
        CPPUNIT_ASSERT_EQUAL(before.harmlessRejected, after.harmlessRejected);
    }

private:
    static void assertStopped(bool hasZoneFailures, std::size_t parts)
    {
        for (const std::size_t processes : {1, 4, 33, 350}) {
            for (const double perSecond : {0.4, 2.0, 8.0}) {
                for (std::uint64_t seed = 1; seed <= (processes > 100 ? 1 : 4); ++seed) {
                    const Scenario scenario {processes, perSecond,       10,
                                             parts,     hasZoneFailures, seed};
                    assertStopped(scenario);
                }
            }
        }
    }

    static void assertStopped(const Scenario &scenario)
    {
        const Result result = Fleet(scenario).run(30s, 30s);
        const std::string text = textOf(scenario, result);
        CPPUNIT_ASSERT_MESSAGE(text, result.lateDeadly <= 3 * scenario.deadlyParts);
        CPPUNIT_ASSERT_MESSAGE(text, 2 * result.soundRejected <= result.sound);
    }

    static std::vector<Scenario> scenariosOfSeries()
    {
        std::vector<Scenario> scenarios;
        for (const std::size_t processes : fleetsOfSeries) {
            for (const double deadlyPerSecond : {0.0, 2.0}) {
                for (std::uint64_t seed = 1; seed <= 8; ++seed) {
                    Scenario scenario {processes, deadlyPerSecond, 20, 1, true, seed};
                    scenario.processesPerFailure = 1000;
                    scenario.zoneFailureInterval = 1200ms;
                    scenario.hasOwnParts = true;
                    scenario.hasStore = deadlyPerSecond > 0;
                    scenarios.push_back(scenario);
                }
            }
        }
        return scenarios;
    }

    static std::vector<Scenario> scenariosOfPauses()
    {
        std::vector<Scenario> scenarios;
        for (const std::size_t processes : fleetsOfPauses) {
            for (const double perSecond : {0.4, 2.0}) {
                for (const bool isDeadlyFirst : {false, true}) {
                    for (std::uint64_t seed = 1; seed <= (processes > 100 ? 1 : 4); ++seed) {
                        Scenario scenario {processes, perSecond, 10, 1, false, seed};
                        scenario.isDeadlyFirst = isDeadlyFirst;
                        scenario.hasPauses = true;
                        scenarios.push_back(scenario);
                    }
                }
            }
        }
        return scenarios;
    }

    struct Play
    {
        std::string text;
        Result result;
    };

    // Both cases of a kind of crash judge the same plays.
    static const std::vector<Play> &playsOf(bool isDark)
    {
        static std::map<bool, std::vector<Play>> plays;
        if (plays.contains(isDark))
            return plays[isDark];
        for (Scenario scenario : scenariosOfPauses()) {
            scenario.isDark = isDark;
            const Result result = Fleet(scenario).run(30s, 30s);
            plays[isDark].push_back({textOf(scenario, result), result});
        }
        return plays[isDark];
    }

    static void assertDeadlyIsStopped(bool isDark)
    {
        for (const Play &play : playsOf(isDark))
            CPPUNIT_ASSERT_MESSAGE(play.text, play.result.lateDeadly <= 3);
    }

    static void assertSoundIsServed(bool isDark)
    {
        std::string texts;
        for (const Play &play : playsOf(isDark)) {
            if (play.result.soundRejected > 0)
                texts += play.text + '\n';
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), texts);
    }

    static std::vector<Scenario> scenariosOfClocks()
    {
        std::vector<Scenario> scenarios;
        for (const std::size_t processes : fleetsOfClocks) {
            for (const auto difference : {0ms, 500ms, 1000ms, 2000ms, 5000ms}) {
                for (const bool hasSteps : {false, true}) {
                    for (std::uint64_t seed = 1; seed <= (processes > 100 ? 1 : 4); ++seed)
                        scenarios.push_back(
                            {processes, 2, 10, 1, true, seed, difference, hasSteps});
                }
            }
        }
        return scenarios;
    }

    static std::string textOf(const Scenario &scenario, const Result &result)
    {
        return std::to_string(scenario.processes) + " processes, "
            + std::to_string(scenario.deadlyPerSecond) + " per second, seed "
            + std::to_string(scenario.seed) + ", clocks differ by "
            + std::to_string(scenario.clockDifference.count()) + " ms, "
            + (scenario.hasClockSteps ? "stepping" : "steady")
            + (scenario.isDeadlyFirst ? ", deadly part first" : "")
            + (scenario.isDark ? ", dark" : "") + (scenario.hasPauses ? ", pauses" : "") + ": "
            + std::to_string(result.crashes) + " crashes, " + std::to_string(result.lateDeadly)
            + " late, " + std::to_string(result.soundRejected) + " of "
            + std::to_string(result.sound) + " sound rejected";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptQuarantineSimulationTest);
