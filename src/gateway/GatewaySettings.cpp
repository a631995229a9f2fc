#include "foxtailring/gateway/GatewaySettings.h"

#include "foxtailring/base/SettingsReader.h"

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t mostThreads = 64;
constexpr std::int64_t leastMemoryMb = 32;
constexpr std::int64_t mostMemoryMb = 1024 * 1024;
constexpr std::int64_t hourMs = 3'600'000;
constexpr double leastDrainSeconds = 1;
constexpr double mostDrainSeconds = 3600;

Endpoint endpoint(SettingsReader &reader, const std::string &key)
{
    const auto parsed = Endpoint::parse(reader.address(key));
    return parsed ? parsed.value() : Endpoint {};
}

void readMs(SettingsReader &reader, const std::string &key, milliseconds &value)
{
    value = milliseconds(reader.integerOr(key, value.count(), 1, hourMs));
}

// Entries of the form `ZONE=REGION`.
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
    settings.listen = endpoint(reader, "listen");
    settings.ready = endpoint(reader, "ready");
    settings.metrics = endpoint(reader, "metrics");
    settings.store = endpoint(reader, "store");
    const auto threads = static_cast<std::int64_t>(settings.threads);
    settings.threads =
        static_cast<std::size_t>(reader.integerOr("threads", threads, 1, mostThreads));
    const auto memoryMb = static_cast<std::int64_t>(settings.memoryMb);
    settings.memoryMb = static_cast<std::size_t>(
        reader.integerOr("memoryMb", memoryMb, leastMemoryMb, mostMemoryMb));
    readMs(reader, "keyRevocationMs", settings.keyRevocation);
    readMs(reader, "listNoticeMs", settings.listNotice);
    readMs(reader, "startWaitMs", settings.startWait);
    settings.drainLimit = std::chrono::round<milliseconds>(std::chrono::duration<double>(
        reader.numberOr("drainLimitSeconds", 8, leastDrainSeconds, mostDrainSeconds)));
    const auto done = reader.finish();
    if (!done)
        return done.error();
    return settings;
}

} // namespace foxtailring
