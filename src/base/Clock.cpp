#include "foxtailring/base/Clock.h"

namespace foxtailring {

Clock steadyClock()
{
    return [] { return std::chrono::steady_clock::now(); };
}

} // namespace foxtailring
