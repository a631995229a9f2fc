#pragma once

#include "Work.h"

#include <string>

namespace foxtailring::bench {

/// \brief What one round measured.
struct RoundResult
{
    double wait = 0; ///< milliseconds
    Work work;
    std::string fault; ///< what was wrong with the answer; empty when it was whole
};

} // namespace foxtailring::bench
