#pragma once

#include "foxtailring/base/ErrorCode.h"
#include "foxtailring/sidecar/SidecarSettings.h"

#include <cstdint>

namespace foxtailring {

/// \brief Milliseconds after which a refused request may succeed here; 0: no advice.
inline std::uint32_t retryAdviceMs(const SidecarSettings &settings, ErrorCode code)
{
    const bool passes = code == ErrorCode::Overloaded || code == ErrorCode::Unavailable;
    return passes ? static_cast<std::uint32_t>(settings.retryAfter.count()) : 0;
}

} // namespace foxtailring
