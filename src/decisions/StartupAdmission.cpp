#include "foxtailring/decisions/StartupAdmission.h"

namespace foxtailring {

namespace {

// Bounds the memory that waiting requests take before limits are known.
constexpr std::size_t maxWaiting = 200;

} // namespace

bool StartupAdmission::mayWait(std::size_t waiting, TimePoint now) const
{
    return waiting < maxWaiting && now < end();
}

} // namespace foxtailring
