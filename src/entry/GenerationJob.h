#pragma once

#include "foxtailring/decisions/generation/GenerationSpec.h"
#include "foxtailring/decisions/placement/CostWeights.h"
#include "foxtailring/entry/CompletionRequest.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief One generation that a client account asks for.
struct GenerationJob
{
    GenerationSpec spec;
    CompletionRequest request;
    std::string account;
    std::uint32_t priority = 5; ///< 0 is the highest, 9 the lowest
    std::string service;
    std::string model;   ///< base model when the request names an adapter
    std::string adapter; ///< empty: none
    CostWeights weights;
    std::string idempotencyKey; ///< empty: none
    std::string traceparent;    ///< span of the hop to the sidecar
};

} // namespace foxtailring
