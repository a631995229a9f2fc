#include "DurationText.h"

namespace foxtailring {

std::string msText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace foxtailring
