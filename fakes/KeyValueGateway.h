#pragma once

#include "CallMeter.h"
#include "KeyValueStore.h"
#include "PlatformFaults.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace foxtailring::fakes {

class FakeExchange;

/// \brief HTTP and JSON side of the key-value store, a part of the etcd v3 gateway. Thread-safe.
class KeyValueGateway
{
public:
    KeyValueGateway(std::size_t historyEvents, PlatformFaults &faults);

    /// \brief Answers a request whose path starts with `/v3/`.
    void handle(FakeExchange &exchange);
    /// \brief Counts a call that is not of the key-value service.
    void countOther(const std::string &kind);
    /// \brief Revokes leases that are due. To be called often.
    void expireLeases();
    nlohmann::json stats();

private:
    using Answer = Result<nlohmann::json>;

    Answer execute(const std::string &kind, const nlohmann::json &request);
    Answer apply(const StoreOperation &operation);
    Answer transact(const nlohmann::json &request);
    Answer grant(const nlohmann::json &request);
    Answer keepAlive(const nlohmann::json &request);
    Answer revoke(const nlohmann::json &request);
    Answer compact(const nlohmann::json &request);
    void watch(FakeExchange &exchange);
    bool sendChanges(FakeExchange &exchange, const KeyRange &range, std::int64_t &next);

    PlatformFaults &m_faults;
    std::mutex m_mutex; // guards all below
    std::condition_variable m_changed;
    KeyValueStore m_store;
    CallMeter m_meter;
};

} // namespace foxtailring::fakes
