#pragma once

#include "foxtailring/decisions/AnswerCall.h"
#include "foxtailring/decisions/ReadBucket.h"
#include "foxtailring/decisions/SendCall.h"
#include "foxtailring/decisions/SwapBucket.h"

#include <variant>
#include <vector>

namespace foxtailring {

using ClaimAction = std::variant<ReadBucket, SwapBucket, SendCall, AnswerCall>;
using ClaimActions = std::vector<ClaimAction>;

} // namespace foxtailring
