#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Entry to sidecar: subscribe to load reports on this stream.
struct WatchReports
{
    static constexpr MessageType type = MessageType::WatchReports;

    std::string entryId;
    std::uint32_t intervalMs = 0; ///< time between reports

    MSGPACK_DEFINE_MAP(entryId, intervalMs)
};

} // namespace foxtailring
