#pragma once

#include <span>
#include <string>
#include <string_view>

namespace foxtailring {

struct GatewayParts;
struct KeyValue;
struct WatchEvent;

/// \brief Applies the other gateways' reports on the speed of engines. Used on the queue.
class SpeedReportWatch
{
public:
    /// \param parts must live as long as the watch
    explicit SpeedReportWatch(GatewayParts &parts);

    static bool isKey(std::string_view key);

    /// \brief Takes over all reports in the store, in place of those that are known.
    void applySnapshot(std::span<const KeyValue> pairs);
    void applyEvents(std::span<const WatchEvent> events);

private:
    void apply(const KeyValue &pair);
    bool isOwn(const KeyValue &pair) const;

    GatewayParts &m_parts;
};

} // namespace foxtailring
