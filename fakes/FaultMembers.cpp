#include "FaultMembers.h"

#include <algorithm>
#include <stdexcept>

namespace foxtailring::fakes {

void checkFaultMembers(const nlohmann::json &faults, std::initializer_list<std::string_view> known)
{
    for (const auto &member : faults.items()) {
        if (std::find(known.begin(), known.end(), member.key()) == known.end())
            throw std::invalid_argument("unknown fault \"" + member.key() + '"');
    }
}

} // namespace foxtailring::fakes
