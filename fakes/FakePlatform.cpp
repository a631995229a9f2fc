#include "FakePlatform.h"

#include "FakeExchange.h"

#include <thread>

namespace foxtailring::fakes {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds leaseCheckInterval {20};
const std::string weightsPrefix = "/v1/weights/";

} // namespace

FakePlatform::FakePlatform(const PlatformOptions &options)
    : m_gateway(options.historyEvents, m_faults)
    , m_vms(nlohmann::json::array(), options.vmLag)
    , m_weights(options.weightsPerSecond, options.weightsBurst)
{
}

void FakePlatform::handle(FakeExchange &exchange)
{
    const std::string path = exchange.path();
    if (path.starts_with("/fake/"))
        control(exchange);
    else if (path.starts_with("/v3/"))
        m_gateway.handle(exchange);
    else if (path == "/v1/vms")
        listVms(exchange);
    else if (path.starts_with(weightsPrefix))
        fetchWeights(exchange);
}

void FakePlatform::keepTime()
{
    for (;;) {
        std::this_thread::sleep_for(leaseCheckInterval);
        m_gateway.expireLeases();
    }
}

void FakePlatform::control(FakeExchange &exchange)
{
    const std::string path = exchange.path();
    if (path == "/fake/stats")
        return exchange.respond(200, m_gateway.stats());
    if (path == "/fake/fault") {
        m_faults.apply(exchange.json());
    } else if (path == "/fake/vms") {
        const std::lock_guard lock(m_mutex);
        m_vms.set(steady_clock::now(), exchange.json().at("vms"));
    } else {
        return;
    }
    exchange.respond(200, nlohmann::json::object());
}

void FakePlatform::listVms(FakeExchange &exchange)
{
    m_gateway.countOther("vms");
    if (!m_faults.admit())
        return exchange.close();
    nlohmann::json vms;
    {
        const std::lock_guard lock(m_mutex);
        vms = m_vms.at(steady_clock::now());
    }
    exchange.respond(200, {{"vms", std::move(vms)}});
}

void FakePlatform::fetchWeights(FakeExchange &exchange)
{
    m_gateway.countOther("weights");
    if (!m_faults.admit())
        return exchange.close();
    Duration wait {};
    {
        const std::lock_guard lock(m_mutex);
        wait = m_weights.take(steady_clock::now());
    }
    std::this_thread::sleep_for(wait);
    exchange.respond(200, {{"name", exchange.path().substr(weightsPrefix.size())}});
}

} // namespace foxtailring::fakes
