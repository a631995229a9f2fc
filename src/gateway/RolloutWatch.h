#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/gateway/RolloutSchema.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace foxtailring {

struct GatewayParts;
struct KeyValue;
struct RangeResult;
struct WatchEvent;

/// \brief Applies the orders, statuses and witnesses of roll-outs in the store to the gateway.
/// Without settings for roll-outs it does nothing. On the gateway's queue.
class RolloutWatch
{
public:
    /// \param parts must outlive the object
    RolloutWatch(GatewayParts &parts, const RolloutSchema &schema);

    void applySnapshot(const RangeResult &read);
    /// \brief To be called before the servers among the events are listed.
    /// \param epoch of the store
    void applyEvents(std::span<const WatchEvent> events, std::int64_t epoch);

private:
    enum class Kind : std::uint8_t { None, Order, Status, Witness };

    Kind kindOf(std::string_view key) const;
    std::string nameOf(std::string_view key, Kind kind) const;
    void applyOrder(const KeyValue &pair, std::int64_t epoch, bool isLive);
    void applyStatus(const KeyValue &pair, std::int64_t epoch);
    void applyWitness(const KeyValue &pair);
    void remove(std::string_view key, std::int64_t epoch);

    GatewayParts &m_parts;
    const RolloutSchema m_schema;
    bool m_isFirstSnapshot = true;
};

} // namespace foxtailring
