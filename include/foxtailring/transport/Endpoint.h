#pragma once

#include "foxtailring/base/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief IP number and TCP port of a process.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0; ///< 0 when listening: chosen by the system

    /// \brief Parses `IP:PORT`. InvalidArgument when it is anything else.
    static Result<Endpoint> parse(std::string_view text);
    /// \brief `IP:PORT`.
    std::string toString() const;

    // clang-tidy 14 takes the defaulted comparison for a null pointer constant.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace foxtailring
