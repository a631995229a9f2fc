#include "foxtailring/decisions/StartIntake.h"

namespace foxtailring {

namespace {

// Bounds the memory that waiting requests take before limits are known.
constexpr std::size_t mostWaiting = 200;

} // namespace

bool StartIntake::mayWait(std::size_t waiting, TimePoint now) const
{
    return waiting < mostWaiting && now < end();
}

} // namespace foxtailring
