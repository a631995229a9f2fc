#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Send a call once; answered by callFinished(), callNotSent() or callLost().
struct SendCall
{
    std::uint64_t ticket = 0;
    std::uint32_t bucket = 0;
    std::string key;
    std::string claim;
    TimePoint deadline;
};

} // namespace foxtailring
