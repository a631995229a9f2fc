#pragma once

#include "foxtailring/decisions/claims/AnswerCall.h"
#include "foxtailring/decisions/claims/ReadBucket.h"
#include "foxtailring/decisions/claims/SendCall.h"
#include "foxtailring/decisions/claims/SwapBucket.h"

#include <variant>
#include <vector>

namespace foxtailring {

using ClaimAction = std::variant<ReadBucket, SwapBucket, SendCall, AnswerCall>;
using ClaimActions = std::vector<ClaimAction>;

} // namespace foxtailring
