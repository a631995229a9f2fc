#pragma once

#include "foxtailring/base/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief IP address and TCP port of a process.
struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0; ///< 0 when listening: the system chooses a free port

    /// \brief Parses `IP:PORT` (`[IP]:PORT` for IPv6). Fails with InvalidArgument on any other
    /// text.
    static Result<Endpoint> parse(std::string_view text);
    /// \brief False for port 0 and for unspecified, multicast and broadcast addresses.
    bool isConnectable() const;
    /// \brief Returns `IP:PORT`, with an IPv6 address in brackets.
    std::string toString() const;

    // clang-tidy 14 takes the defaulted comparison for a null pointer constant.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace foxtailring
