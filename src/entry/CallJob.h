#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/protocol/Call.h"

namespace foxtailring {

/// \brief One call of a plain service that a client account makes.
struct CallJob
{
    Call call;
    TimePoint deadline;

    /// \brief It must run at most once and has a key, so that its home server decides.
    bool isKeyed() const { return !call.idempotent && !call.idempotencyKey.empty(); }
};

} // namespace foxtailring
