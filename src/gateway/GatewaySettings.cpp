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
constexpr double minSecondAttemptShare = 0.001;
constexpr double maxSecondAttemptShare = 0.5;

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

// Without the section, no second attempts are made. Its unknown keys are reported with the errors
// of the whole file.
Result<Done> readSecondAttempts(SettingsReader &reader, GatewaySettings &settings)
{
    if (!reader.has("secondAttempts"))
        return Done {};
    SettingsReader section = reader.section("secondAttempts");
    if (!section.has("maxShare"))
        section.addError("maxShare", "a number from 0.001 to 0.5");
    settings.secondAttempts.maxShare = section.numberOr(
        "maxShare", minSecondAttemptShare, minSecondAttemptShare, maxSecondAttemptShare);
    return section.finish();
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
    if (reader.has("platformRules"))
        settings.platformRules = reader.textList("platformRules");
    readMilliseconds(reader, "keyRevocationMs", settings.maxKeyRevocationDelay);
    readMilliseconds(reader, "listNoticeMs", settings.maxServerListDelay);
    readMilliseconds(reader, "startWaitMs", settings.maxStartupWait);
    settings.storeReadsPerSecond = reader.numberOr(
        "storeReadsPerSecond", settings.storeReadsPerSecond, minReadsPerSecond, maxReadsPerSecond);
    settings.drainTimeout = std::chrono::round<milliseconds>(std::chrono::duration<double>(
        reader.numberOr("drainLimitSeconds", 8, minDrainSeconds, maxDrainSeconds)));
    const auto secondAttempts = readSecondAttempts(reader, settings);
    readRollouts(reader, settings);
    const auto done = reader.finish();
    if (!secondAttempts || !done)
        return (done ? secondAttempts : done).error();
    return settings;
}

} // namespace foxtailring
