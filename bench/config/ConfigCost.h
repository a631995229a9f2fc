#pragma once

#include "ConfigSteps.h"

namespace foxtailring::bench {

/// \brief Measures a configuration of \a routes routes, \a rounds times each step.
/// \param connections of callers that are idle when the configuration takes effect
ConfigSteps measureConfig(std::size_t routes, std::size_t connections, std::size_t rounds);

} // namespace foxtailring::bench
