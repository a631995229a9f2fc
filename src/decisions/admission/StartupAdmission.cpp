#include "foxtailring/decisions/admission/StartupAdmission.h"

namespace foxtailring {

namespace {

// Bounds the memory of waiting requests while the configured limits are unknown.
constexpr std::size_t maxWaiting = 200;

} // namespace

bool StartupAdmission::mayWait(std::size_t waiting, TimePoint now) const
{
    return waiting < maxWaiting && now < end();
}

} // namespace foxtailring
