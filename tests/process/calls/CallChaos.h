#pragma once

#include "foxtailring/base/RandomSource.h"
#include "InvariantReport.h"
#include "NoticeCall.h"
#include "ServiceLog.h"
#include "SystemFixture.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace foxtailring::harness {

/// \brief Sends keyed calls from several threads while faults chosen by a seed are set and removed.
class CallChaos
{
public:
    CallChaos(SystemFixture &system, InvariantReport &report, std::uint64_t seed);

    /// \brief Sends the calls and injects the faults, then clears the faults and compares each
    /// key's responses with the service log.
    void run();

private:
    struct Key
    {
        NoticeCall call;
        std::vector<CallAnswer> answers = {};

        bool isDone() const { return !answers.empty() && answers.back().isDone(); }
    };

    void sendKeys(std::size_t thread);
    void send(Key &key, std::size_t entry);
    void injectFaults();
    void injectFault();
    void injectProcessFault(ServerVm &server);
    void clearFaults();
    void retryRefused();
    void checkKeys();
    void checkKey(const Key &key, std::size_t executions);
    ServerVm &randomServer();

    SystemFixture &m_system;
    InvariantReport &m_report;
    ServiceLog m_log;
    RandomSource m_random; ///< used by the fault-injecting thread only
    std::uint64_t m_seed;
    std::vector<Key> m_keys;
    std::atomic<std::size_t> m_sentCalls = 0;
};

} // namespace foxtailring::harness
