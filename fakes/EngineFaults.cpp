#include "EngineFaults.h"

#include "FaultMembers.h"

#include <unistd.h>

namespace foxtailring::fakes {

namespace {

constexpr int crashStatus = 70;

} // namespace

void EngineFaults::apply(const nlohmann::json &faults)
{
    checkFaultMembers(faults, {"crashAfterTokens", "hang", "keepSendingAfterCancel"});
    if (faults.contains("hang"))
        hang.set(faults["hang"].get<bool>());
    if (faults.contains("keepSendingAfterCancel"))
        m_keepSending = faults["keepSendingAfterCancel"].get<bool>();
    if (!faults.contains("crashAfterTokens"))
        return;
    const auto tokens = faults["crashAfterTokens"].get<std::int64_t>();
    if (tokens == 0)
        _exit(crashStatus);
    m_tokensUntilCrash = tokens;
}

void EngineFaults::tokenSent()
{
    std::int64_t left = m_tokensUntilCrash;
    while (left > 0 && !m_tokensUntilCrash.compare_exchange_weak(left, left - 1)) { }
    if (left == 1)
        _exit(crashStatus);
}

bool EngineFaults::keepsSendingAfterCancel() const
{
    return m_keepSending;
}

} // namespace foxtailring::fakes
