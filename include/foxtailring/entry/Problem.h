#pragma once

#include "foxtailring/base/Error.h"
#include "foxtailring/transport/HttpResponse.h"

#include <chrono>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief RFC 9457 problem details of a request that has no answer.
struct Problem
{
    static constexpr std::string_view notRun = "not-run";        ///< guaranteed
    static constexpr std::string_view unknown = "unknown";       ///< it may have run
    static constexpr std::string_view incomplete = "incomplete"; ///< part of the answer exists

    Error error;
    std::string outcome = std::string(notRun);
    std::chrono::milliseconds retryAfter {0}; ///< 0: no advice

    /// \param fallback advice for a problem that may pass, when \a retryAfter is 0
    static Problem of(Error error, std::string_view outcome, std::chrono::milliseconds retryAfter,
                      std::chrono::milliseconds fallback);

    int status() const;
    /// \brief JSON object with type, title, status, detail, outcome and retryAfterMs.
    std::string json() const;
    HttpResponse response() const;
};

} // namespace foxtailring
