#pragma once

#include "foxtailring/decisions/rollouts/RolloutEnvironment.h"

namespace foxtailring {

struct GatewayParts;

/// \brief What the roll-outs of a gateway need to know of it, and hooks that log their steps.
/// \param parts must outlive the result
RolloutEnvironment rolloutEnvironment(GatewayParts &parts);

} // namespace foxtailring
