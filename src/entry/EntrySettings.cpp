#include "foxtailring/entry/EntrySettings.h"

#include "foxtailring/base/SettingsReader.h"

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t dayMs = 24 * 3'600'000;
constexpr std::size_t leastSecretBytes = 16;

Endpoint endpoint(SettingsReader &reader, const std::string &key)
{
    const auto parsed = Endpoint::parse(reader.address(key));
    return parsed ? parsed.value() : Endpoint {};
}

void readMs(SettingsReader &reader, const std::string &key, milliseconds &value,
            std::int64_t least = 1, std::int64_t most = dayMs)
{
    value = milliseconds(reader.integerOr(key, value.count(), least, most));
}

template <typename Integer>
void readCount(SettingsReader &reader, const std::string &key, Integer &value, std::int64_t most)
{
    value = static_cast<Integer>(reader.integerOr(key, static_cast<std::int64_t>(value), 1, most));
}

void readIdentity(SettingsReader &reader, EntrySettings &settings)
{
    settings.nodeId = reader.text("nodeId");
    settings.region = reader.text("region");
    settings.availabilityZone = reader.text("availabilityZone");
    settings.listen = endpoint(reader, "listen");
    settings.admin = endpoint(reader, "admin");
    settings.platform = endpoint(reader, "platform");
    settings.secret = reader.text("secret", "at least 16 characters");
    if (!settings.secret.empty() && settings.secret.size() < leastSecretBytes)
        reader.addError("secret", "at least 16 characters");
}

void readTimes(SettingsReader reader, EntrySettings &settings)
{
    GenerationSessionSettings &session = settings.session;
    readMs(reader, "suspectAfterMs", session.liveness.suspectAfter);
    readMs(reader, "reattachWindowMs", session.liveness.reattachWindow);
    // A sidecar closes a stream after 3 s without Ack.
    readMs(reader, "ackIntervalMs", session.ackInterval, 10, 2000);
    readMs(reader, "resumePatienceMs", session.maxResumeWait);
    readMs(reader, "generationDeadlineMs", settings.generationDeadline);
    readMs(reader, "callDeadlineMs", settings.callDeadline);
    readMs(reader, "recordTimeoutMs", settings.recordTimeout);
    readMs(reader, "finalAckDelayMs", settings.finalAckDelay, 0, 2500);
    readMs(reader, "vmListIntervalMs", settings.vmListInterval);
    readMs(reader, "watchRenewalMs", settings.watchRenewal);
    readMs(reader, "reportIntervalMs", settings.reportInterval);
    readMs(reader, "retryAfterMs", settings.retryAfter);
    readMs(reader, "drainDelayMs", settings.drainDelay, 0);
    readMs(reader, "drainLimitMs", settings.drainLimit, 0);
    reader.finish().isOk(); // The list of faults is shared; read() reports it.
}

void readLimits(SettingsReader reader, EntrySettings &settings)
{
    constexpr std::int64_t mostBytes = 1024 * 1024 * 1024;
    // A call travels in one frame of at most 16 MiB.
    constexpr std::int64_t mostBodyBytes = 12 * 1024 * 1024;
    readCount(reader, "maxFruitlessAttempts", settings.session.maxAttemptsWithoutProgress, 1000);
    settings.resumesPerServer =
        reader.numberOr("resumesPerServer", settings.resumesPerServer, 0.1, 1'000'000);
    readCount(reader, "maxTokensLimit", settings.maxTokensLimit, 100'000'000);
    readCount(reader, "defaultMaxTokens", settings.defaultMaxTokens, settings.maxTokensLimit);
    readCount(reader, "requestBodyBytes", settings.requestBodyBytes, mostBodyBytes);
    readCount(reader, "callerBufferBytes", settings.callerBufferBytes, mostBytes);
    readCount(reader, "subsetSize", settings.subsetSize, 100'000);
    readCount(reader, "remoteSubsetSize", settings.remoteSubsetSize, 100'000);
    reader.finish().isOk(); // The list of faults is shared; read() reports it.
}

} // namespace

Result<EntrySettings> EntrySettings::fromFile(const std::string &path)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader)
        return reader.error();
    return read(reader.value());
}

Result<EntrySettings> EntrySettings::read(SettingsReader &reader)
{
    EntrySettings settings;
    readIdentity(reader, settings);
    readCount(reader, "threads", settings.threads, 256);
    if (reader.has("times"))
        readTimes(reader.section("times"), settings);
    if (reader.has("limits"))
        readLimits(reader.section("limits"), settings);
    const auto done = reader.finish();
    if (!done)
        return done.error();
    return settings;
}

} // namespace foxtailring
