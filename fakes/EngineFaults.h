#pragma once

#include "HangGate.h"

#include <atomic>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace foxtailring::fakes {

/// \brief Faults of the engine stand-in, set by tests while it runs. Thread-safe.
class EngineFaults
{
public:
    /// \brief Applies `{"crashAfterTokens":N,"hang":bool,"keepSendingAfterCancel":bool}`.
    void apply(const nlohmann::json &faults);

    /// \brief To be called after each token sent; ends the process when the crash is due.
    void tokenSent();
    bool keepsSendingAfterCancel() const;

    HangGate hang;

private:
    static constexpr std::int64_t never = -1;

    std::atomic<std::int64_t> m_tokensUntilCrash = never;
    std::atomic<bool> m_keepSending = false;
};

} // namespace foxtailring::fakes
