#include "foxtailring/gateway/GatewaySettings.h"

#include "foxtailring/base/SettingsReader.h"

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t maxThreads = 64;
constexpr std::int64_t minMemoryMb = 32;
constexpr std::int64_t maxMemoryMb = 1024 * 1024;
constexpr std::int64_t maxDurationMs = 3'600'000;
constexpr double minReadsPerSecond = 1;
constexpr double maxReadsPerSecond = 1e6;
constexpr double maxSlackRequests = 1e6;
constexpr double minDrainSeconds = 1;
constexpr double maxDrainSeconds = 3600;

Endpoint readEndpoint(SettingsReader &reader, const std::string &key)
{
    const auto parsed = Endpoint::parse(reader.address(key));
    return parsed ? parsed.value() : Endpoint {};
}

void readMilliseconds(SettingsReader &reader, const std::string &key, milliseconds &value)
{
    value = milliseconds(reader.integerOr(key, value.count(), 1, maxDurationMs));
}

void readRollouts(SettingsReader &reader, GatewaySettings &settings)
{
    const std::string key = "rollouts";
    if (!reader.has(key))
        return;
    RolloutSettings rollouts;
    SettingsReader section = reader.section(key);
    rollouts.maxShare = section.numberOr("maxShare", rollouts.maxShare, 0, 1);
    rollouts.slackRequests =
        section.numberOr("slackRequests", rollouts.slackRequests, 0, maxSlackRequests);
    readMilliseconds(section, "rollbackMs", rollouts.maxRollbackTime);
    // Its errors are those of the reader.
    static_cast<void>(section.finish());
    settings.rollouts = rollouts;
}

// Each entry has the form `ZONE=REGION`.
void readRegions(SettingsReader &reader, GatewaySettings &settings)
{
    const std::string key = "regions";
    for (const std::string &entry : reader.textList(key)) {
        const auto separator = entry.find('=');
        if (separator == std::string::npos)
            reader.addError(key, "ZONE=REGION");
        else
            settings.regions.emplace(entry.substr(0, separator), entry.substr(separator + 1));
    }
}

} // namespace

Result<GatewaySettings> GatewaySettings::fromFile(const std::string &path)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader)
        return reader.error();
    return read(reader.value());
}

Result<GatewaySettings> GatewaySettings::read(SettingsReader &reader)
{
    GatewaySettings settings;
    settings.nodeId = reader.text("nodeId");
    settings.availabilityZone = reader.text("availabilityZone");
    readRegions(reader, settings);
    settings.listen = readEndpoint(reader, "listen");
    settings.ready = readEndpoint(reader, "ready");
    settings.metrics = readEndpoint(reader, "metrics");
    settings.store = readEndpoint(reader, "store");
    const auto threads = static_cast<std::int64_t>(settings.threads);
    settings.threads =
        static_cast<std::size_t>(reader.integerOr("threads", threads, 1, maxThreads));
    const auto memoryMb = static_cast<std::int64_t>(settings.memoryMb);
    settings.memoryMb =
        static_cast<std::size_t>(reader.integerOr("memoryMb", memoryMb, minMemoryMb, maxMemoryMb));
    readMilliseconds(reader, "keyRevocationMs", settings.maxKeyRevocationDelay);
    readMilliseconds(reader, "listNoticeMs", settings.maxServerListDelay);
    readMilliseconds(reader, "startWaitMs", settings.maxStartupWait);
    settings.storeReadsPerSecond = reader.numberOr(
        "storeReadsPerSecond", settings.storeReadsPerSecond, minReadsPerSecond, maxReadsPerSecond);
    settings.drainTimeout = std::chrono::round<milliseconds>(std::chrono::duration<double>(
        reader.numberOr("drainLimitSeconds", 8, minDrainSeconds, maxDrainSeconds)));
    readRollouts(reader, settings);
    const auto done = reader.finish();
    if (!done)
        return done.error();
    return settings;
}

} // namespace foxtailring
