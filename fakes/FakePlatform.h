#pragma once

#include "KeyValueGateway.h"
#include "Lagged.h"
#include "PlatformFaults.h"
#include "PlatformOptions.h"
#include "TokenBucket.h"

#include <mutex>
#include <nlohmann/json.hpp>

namespace foxtailring::fakes {

class FakeExchange;

/// \brief Stand-in for the platform: key-value service, VM list and weight store. Thread-safe.
class FakePlatform
{
public:
    explicit FakePlatform(const PlatformOptions &options);

    /// \brief Answers one HTTP request.
    void handle(FakeExchange &exchange);
    /// \brief Expires leases; never returns.
    void keepTime();

private:
    void control(FakeExchange &exchange);
    void listVms(FakeExchange &exchange);
    void fetchWeights(FakeExchange &exchange);

    PlatformFaults m_faults;
    KeyValueGateway m_gateway;
    std::mutex m_mutex; // guards all below
    Lagged<nlohmann::json> m_vms;
    TokenBucket m_weights;
};

} // namespace foxtailring::fakes
