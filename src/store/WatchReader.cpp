#include "WatchReader.h"

#include "EtcdJson.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

// One line holds several events, each with a value of up to 1 MB as base64.
constexpr std::size_t maxLineBytes = 32 * 1024 * 1024;

} // namespace

WatchReader::WatchReader(WatchHooks hooks, std::int64_t epoch)
    : m_hooks(std::move(hooks))
    , m_epoch(epoch)
{
}

void WatchReader::feed(std::string_view bytes)
{
    if (m_isEnded)
        return;
    // Searches only the new bytes, since a line of megabytes arrives in thousands of chunks.
    std::size_t searchFrom = m_pending.size();
    std::size_t end = 0;
    m_pending += bytes;
    while (!m_isEnded && (end = m_pending.find('\n', searchFrom)) != std::string::npos) {
        readLine(std::string_view(m_pending).substr(0, end));
        m_pending.erase(0, end + 1);
        searchFrom = 0;
    }
    if (m_pending.size() > maxLineBytes)
        this->end({ErrorCode::Malformed, "a watch line exceeds the size limit"});
}

void WatchReader::end(Error error)
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_hooks.onEnded(std::move(error));
}

void WatchReader::readLine(std::string_view line)
{
    if (line.find_first_not_of(" \r") == std::string_view::npos)
        return;
    if (auto error = readResult(line))
        end(std::move(*error));
}

std::optional<Error> WatchReader::readResult(std::string_view line)
try {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object() || !json.contains("result") || !json["result"].is_object())
        return Error {ErrorCode::Malformed, "a watch line holds no result object"};
    const auto &result = json["result"];
    const auto epoch = etcd::epoch(result);
    if (!epoch)
        return epoch.error();
    if (epoch.value() != m_epoch)
        return Error {ErrorCode::Stale, "the watch starts in another epoch of the service"};
    const auto compactRevision = etcd::integer(result, "compact_revision");
    if (!compactRevision)
        return compactRevision.error();
    if (compactRevision.value() != 0)
        return Error {ErrorCode::Stale,
                      "the watch starts before compacted revision "
                          + std::to_string(compactRevision.value())};
    if (result.value("canceled", false))
        return Error {ErrorCode::Closed, "the service cancelled the watch"};
    const auto events = etcd::watchEvents(result);
    if (!events)
        return events.error();
    const auto revision = etcd::integer(result.at("header"), "revision");
    if (!revision)
        return revision.error();
    if (!events.value().empty())
        m_hooks.onChanges(events.value(), revision.value());
    return std::nullopt;
} catch (const nlohmann::json::exception &exception) {
    return Error {ErrorCode::Malformed, std::string("invalid watch line: ") + exception.what()};
}

} // namespace foxtailring
