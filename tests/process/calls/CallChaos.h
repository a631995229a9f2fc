#pragma once

#include "foxtailring/base/RandomSource.h"
#include "NoticeCall.h"
#include "Proof.h"
#include "ServiceLog.h"
#include "SystemFixture.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace foxtailring::harness {

/// \brief Keyed calls from several threads while faults chosen by a seed come and go.
class CallChaos
{
public:
    CallChaos(SystemFixture &system, Proof &proof, std::uint64_t seed);

    /// \brief Sends the calls, brings the faults about, takes them away, and compares each key's
    /// answers with the log.
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
    void strikeAll();
    void strike();
    void strikeProcess(ServerVm &server);
    void heal();
    void retryRefused();
    void check();
    void checkKey(const Key &key, std::size_t executions);
    ServerVm &anyServer();

    SystemFixture &m_system;
    Proof &m_proof;
    ServiceLog m_log;
    RandomSource m_random; ///< of the thread that brings the faults about
    std::uint64_t m_seed;
    std::vector<Key> m_keys;
    std::atomic<std::size_t> m_sent = 0;
};

} // namespace foxtailring::harness
