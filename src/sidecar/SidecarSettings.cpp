#include "foxtailring/sidecar/SidecarSettings.h"

#include "foxtailring/base/SettingsReader.h"

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t dayMs = 86'400'000;

Endpoint endpoint(SettingsReader &reader, const std::string &key)
{
    const auto parsed = Endpoint::parse(reader.address(key));
    return parsed ? parsed.value() : Endpoint {};
}

ServiceType kind(SettingsReader &reader)
{
    const std::string text = reader.text("kind", "generation or plain");
    if (!text.empty() && text != "generation" && text != "plain")
        reader.addError("kind", "generation or plain");
    return text == "plain" ? ServiceType::Plain : ServiceType::Generation;
}

void readMilliseconds(SettingsReader &reader, const std::string &key, milliseconds &value,
                      std::int64_t least, std::int64_t most = dayMs)
{
    value = milliseconds(reader.integerOr(key, value.count(), least, most));
}

void readTimes(SettingsReader reader, SidecarSettings &settings)
{
    readMilliseconds(reader, "progressIntervalMs", settings.progressInterval, 10);
    readMilliseconds(reader, "probeTimeoutMs", settings.probeTimeout, 10);
    readMilliseconds(reader, "loadIntervalMs", settings.loadInterval, 10);
    readMilliseconds(reader, "cacheEventsIntervalMs", settings.cacheEventsInterval, 10);
    readMilliseconds(reader, "ackTimeoutMs", settings.ackTimeout, 10);
    readMilliseconds(reader, "detachedTimeoutMs", settings.detachedTimeout, 10);
    readMilliseconds(reader, "journalRetentionMs", settings.journalRetention, 10);
    readMilliseconds(reader, "fenceAgeMs", settings.fenceAge, 1'000);
    readMilliseconds(reader, "recordRetentionMs", settings.recordRetention, 1'000);
    readMilliseconds(reader, "callTimeoutMs", settings.callTimeout, 10);
    readMilliseconds(reader, "retryAfterMs", settings.retryAfter, 0);
    readMilliseconds(reader, "claimBatchMs", settings.claimBatch, 1, 1'000);
    readMilliseconds(reader, "claimRetentionMs", settings.claimRetention, 60'000, 30 * dayMs);
    readMilliseconds(reader, "drainLimitMs", settings.drainLimit, 0);
    reader.finish().isOk(); // The list of faults is shared; read() reports it.
}

void readLimits(SettingsReader reader, SidecarSettings &settings)
{
    constexpr std::int64_t maxWork = 1'000'000;
    constexpr std::int64_t maxBytes = std::int64_t(64) << 30;
    const auto count = [&](const std::string &key, std::uint32_t value, std::int64_t least) {
        return static_cast<std::uint32_t>(reader.integerOr(key, value, least, maxWork));
    };
    settings.capacity = count("capacity", settings.capacity, 1);
    settings.queueBound = count("queueBound", settings.queueBound, 0);
    settings.maxRecords = count("maxRecords", static_cast<std::uint32_t>(settings.maxRecords), 1);
    settings.journalBytes = static_cast<std::size_t>(reader.integerOr(
        "journalBytes", static_cast<std::int64_t>(settings.journalBytes), 1024, maxBytes));
    reader.finish().isOk(); // The list of faults is shared; read() reports it.
}

} // namespace

Result<SidecarSettings> SidecarSettings::fromFile(const std::string &path)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader)
        return reader.error();
    return read(reader.value());
}

Result<SidecarSettings> SidecarSettings::read(SettingsReader &reader)
{
    constexpr std::int64_t maxThreads = 64;
    SidecarSettings settings;
    settings.nodeId = reader.text("nodeId");
    settings.region = reader.text("region");
    settings.availabilityZone = reader.text("availabilityZone");
    settings.service = reader.text("service");
    settings.kind = foxtailring::kind(reader);
    settings.listen = endpoint(reader, "listen");
    settings.admin = endpoint(reader, "admin");
    settings.backend = endpoint(reader, "backend");
    if (reader.has("platform"))
        settings.platform = endpoint(reader, "platform");
    settings.threads = static_cast<std::size_t>(
        reader.integerOr("threads", static_cast<std::int64_t>(settings.threads), 1, maxThreads));
    settings.requireConfig = reader.flagOr("requireConfig", settings.requireConfig);
    if (reader.has("times"))
        readTimes(reader.section("times"), settings);
    if (reader.has("limits"))
        readLimits(reader.section("limits"), settings);
    if (const auto ok = reader.finish(); !ok)
        return ok.error();
    return settings;
}

} // namespace foxtailring
