#include "CallChaos.h"

#include <thread>

namespace foxtailring::harness {

namespace {

constexpr std::size_t threadCount = 4;
constexpr std::size_t keysPerThread = 15;
constexpr std::size_t attemptsPerKey = 3;
constexpr std::size_t faultCount = 12;
constexpr std::size_t callsPerFault = 4;
// Shorter than the entry's own deadline, so that some callers time out and retry.
constexpr std::chrono::seconds callerTimeout {4};

} // namespace

CallChaos::CallChaos(SystemFixture &system, InvariantReport &report, std::uint64_t seed)
    : m_system(system)
    , m_report(report)
    , m_log(system)
    , m_random(seed)
    , m_seed(seed)
{
    for (std::size_t number = 0; number < threadCount * keysPerThread; ++number) {
        const std::string name = "chaos-" + std::to_string(number);
        m_keys.push_back({NoticeCall(name, name)});
    }
}

void CallChaos::run()
{
    std::vector<std::thread> senders;
    for (std::size_t thread = 0; thread < threadCount; ++thread)
        senders.emplace_back([this, thread] { sendKeys(thread); });
    injectFaults();
    for (std::thread &sender : senders)
        sender.join();
    clearFaults();
    checkKeys();
    retryRefused();
    checkKeys();
    for (const Key &key : m_keys) {
        if (key.answers.back().isUncertain())
            m_report.addUnknownOutcome();
    }
}

void CallChaos::sendKeys(std::size_t thread)
{
    RandomSource random(m_seed + 1 + thread);
    for (std::size_t number = 0; number < keysPerThread; ++number) {
        Key &key = m_keys[thread * keysPerThread + number];
        for (std::size_t attempt = 0; attempt < attemptsPerKey && !key.isDone(); ++attempt)
            send(key, random.bounded(m_system.entryCount()));
    }
}

void CallChaos::send(Key &key, std::size_t entry)
{
    m_report.addRequest();
    key.answers.push_back(key.call.send(m_system, entry, callerTimeout));
    ++m_sentCalls;
}

void CallChaos::injectFaults()
{
    for (std::size_t count = 1; count <= faultCount; ++count) {
        waitUntil([&] { return m_sentCalls >= count * callsPerFault; });
        injectFault();
    }
}

void CallChaos::injectFault()
{
    ServerVm &server = randomServer();
    switch (m_random.bounded(8)) {
    case 0:
        return m_system.setRouteFault(server.entryRoute(), {{"cut", true}});
    case 1:
        return m_system.setRouteFault(server.backendRoute(), {{"cut", true}});
    case 2:
        return m_system.setPlatformFault({{"loseReplyNext", 2}});
    case 3:
        return m_system.setPlatformFault({{"down", m_random.bounded(2) == 0 ? "close" : "hang"}});
    case 4:
        return m_system.setPlatformFault({{"down", false}});
    case 5:
        return m_system.setRouteFault(server.entryRoute(), {{"silentExisting", true}});
    default:
        return injectProcessFault(server);
    }
}

void CallChaos::injectProcessFault(ServerVm &server)
{
    switch (m_random.bounded(5)) {
    case 0:
        server.backendControl().post("/fake/fault", {{"dropReplyNext", 1}});
        return;
    case 1:
        return server.sidecar->pause();
    case 2:
        return server.sidecar->resume();
    case 3:
        return m_log.replace(server);
    default:
        m_system.entry(0).process->kill();
        m_system.startEntry(m_system.entry(0));
    }
}

void CallChaos::clearFaults()
{
    m_system.setPlatformFault({{"down", false}, {"loseReplyNext", 0}});
    for (std::size_t index = 0; index < m_system.serviceCount(); ++index) {
        m_system.service(index).sidecar->resume();
        m_system.service(index).backendControl().post("/fake/fault", {{"dropReplyNext", 0}});
    }
    m_system.waitUntilReady();
}

// A call that was not run is retried until it runs; a key with an unknown outcome is sent once more
// to learn it.
void CallChaos::retryRefused()
{
    for (Key &key : m_keys) {
        if (key.answers.back().isUncertain())
            send(key, 0);
        waitUntil([&] {
            if (!key.answers.back().isNotRun())
                return true;
            send(key, 0);
            return false;
        });
    }
}

void CallChaos::checkKeys()
{
    auto executions = m_log.executions();
    for (const Key &key : m_keys)
        checkKey(key, executions[key.call.target()]);
}

void CallChaos::checkKey(const Key &key, std::size_t executions)
{
    const CallAnswer &last = key.answers.back();
    const std::string found = key.call.target() + " ran " + std::to_string(executions)
        + " times; last answer: " + last.toString();
    if (executions > 1)
        m_report.addViolation("more than once: " + found);
    if (last.isDone() && executions != 1)
        m_report.addViolation("answered, but not run: " + found);
    if (last.isNotRun() && executions != 0)
        m_report.addViolation("reported as not run, but run: " + found);
}

ServerVm &CallChaos::randomServer()
{
    return m_system.service(m_random.bounded(m_system.serviceCount()));
}

} // namespace foxtailring::harness
