#include "foxtailring/decisions/servers/EngineSpeeds.h"

#include "foxtailring/decisions/servers/BackendInfo.h"

#include "IntervalLog.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxtailring {

namespace {

using Seconds = std::chrono::duration<double>;

// A run counts as at most so many times slower or faster than usual.
constexpr double maxSpeedRatio = 4;
// So many runs at an engine of usual speed are assumed beside those that were observed.
constexpr double assumedRuns = 1;
// Later runs then replace earlier ones in the mean: a VM may become slower.
constexpr std::uint32_t maxRuns = 12;
// A run that differs more from the earlier ones, as a logarithm, shows that the VM has changed.
constexpr double maxDeviation = 0.4;
// The mean of fewer engines says little about a service.
constexpr std::size_t minEngines = 6;
// Bounds what a process holds, for the target size of 12,000 servers and addresses that change.
constexpr std::size_t maxAddresses = 40'000;

Duration durationOf(double log)
{
    return std::chrono::duration_cast<Duration>(Seconds(std::exp(log)));
}

bool isUsable(const SpeedReading &reading)
{
    return reading.runs > 0 && reading.eventInterval > Duration {0};
}

} // namespace

void EngineSpeeds::recordRun(const BackendInfo &server, Duration eventInterval)
{
    if (eventInterval <= Duration {0})
        return;
    Readings &known = m_own[server.service];
    if (known.size() >= maxAddresses && !known.contains(server.address))
        return;
    SpeedReading &own = known[server.address];
    apply(own, Change::Remove);
    own.service = server.service;
    own.address = server.address;
    if (own.runs > 0
        && std::abs(intervalLog(eventInterval) - intervalLog(own.eventInterval)) > maxDeviation)
        own.runs = 0;
    const double log = own.runs == 0 ? 0 : intervalLog(own.eventInterval);
    own.runs = std::min(own.runs + 1, maxRuns);
    own.eventInterval = durationOf(log + (intervalLog(eventInterval) - log) / own.runs);
    apply(own, Change::Add);
}

void EngineSpeeds::recordReport(std::string_view reporter, std::span<const SpeedReading> readings)
{
    forgetReporter(reporter);
    for (const SpeedReading &reading : readings)
        apply(reading, Change::Add);
    m_reports[std::string(reporter)].assign(readings.begin(), readings.end());
}

void EngineSpeeds::forgetReporter(std::string_view reporter)
{
    const auto found = m_reports.find(reporter);
    if (found == m_reports.end())
        return;
    for (const SpeedReading &reading : found->second)
        apply(reading, Change::Remove);
    m_reports.erase(found);
}

std::vector<SpeedReading> EngineSpeeds::ownReadings() const
{
    std::vector<SpeedReading> readings;
    for (const auto &[service, engines] : m_own) {
        for (const auto &[address, reading] : engines)
            readings.push_back(reading);
    }
    return readings;
}

std::size_t EngineSpeeds::ownCount() const
{
    std::size_t count = 0;
    for (const auto &[service, engines] : m_own)
        count += engines.size();
    return count;
}

std::size_t EngineSpeeds::engineCount() const
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_services)
        count += service.engines.size();
    return count;
}

SpeedReading EngineSpeeds::others(const SpeedReading &own) const
{
    SpeedReading reading = merged(own.service, own.address);
    const std::uint32_t runs = reading.runs - std::min(reading.runs, own.runs);
    if (runs > 0) {
        const double log = reading.runs * intervalLog(reading.eventInterval)
            - own.runs * intervalLog(own.eventInterval);
        reading.eventInterval = durationOf(log / runs);
    }
    reading.runs = runs;
    return reading;
}

std::vector<std::string> EngineSpeeds::reporters() const
{
    std::vector<std::string> reporters;
    for (const auto &[reporter, readings] : m_reports)
        reporters.push_back(reporter);
    return reporters;
}

SpeedReading EngineSpeeds::merged(std::string_view service, std::string_view address) const
{
    SpeedReading reading {std::string(service), std::string(address)};
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return reading;
    const auto engine = known->second.engines.find(address);
    if (engine == known->second.engines.end())
        return reading;
    reading.runs = engine->second.runs;
    reading.eventInterval = durationOf(engine->second.meanLog());
    return reading;
}

double EngineSpeeds::relativeDuration(const BackendInfo &server) const
{
    const auto known = m_services.find(server.service);
    if (known == m_services.end() || known->second.engines.size() < minEngines)
        return 1;
    const Service &service = known->second;
    const auto engine = service.engines.find(server.address);
    if (engine == service.engines.end())
        return 1;
    const double usual = service.sumOfMeans / static_cast<double>(service.engines.size());
    const double limit = std::log(maxSpeedRatio);
    const double ratio = std::clamp(engine->second.meanLog() - usual, -limit, limit);
    const double runs = engine->second.runs;
    return std::exp(ratio * runs / (runs + assumedRuns));
}

void EngineSpeeds::apply(const SpeedReading &reading, Change change)
{
    if (!isUsable(reading))
        return;
    Service &service = m_services[reading.service];
    if (service.engines.size() >= maxAddresses && !service.engines.contains(reading.address))
        return;
    Engine &engine = service.engines[reading.address];
    service.sumOfMeans -= engine.meanLog();
    const std::uint32_t runs = std::min(reading.runs, maxRuns);
    const double weightedLog = runs * intervalLog(reading.eventInterval);
    if (change == Change::Add) {
        engine.runs += runs;
        engine.weightedLog += weightedLog;
    } else {
        engine.runs -= std::min(engine.runs, runs);
        engine.weightedLog -= weightedLog;
    }
    service.sumOfMeans += engine.meanLog();
    if (engine.runs == 0)
        service.engines.erase(reading.address);
}

} // namespace foxtailring
