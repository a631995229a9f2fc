#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/ConfigSurroundings.h"
#include "foxtailring/decisions/configuration/RouteConfig.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string_view>

namespace foxtailring {

/// \brief Checks a route configuration before it is sent, and shows what it would change.
class RouteConfigCheck
{
public:
    /// \brief Decodes a configuration as gateways do.
    using Decoder = std::function<Result<RouteConfig>(std::string_view text)>;

    enum ExitCode : std::uint8_t {
        Sound = 0,      ///< no errors; there may be warnings and changes
        HasErrors = 1,  ///< it can be decoded, but requests would fail
        Unreadable = 2, ///< gateways would not take it
    };

    struct Input
    {
        std::string_view next;                   ///< text of the configuration to check
        std::optional<std::string_view> inForce; ///< text of the one in force; none: not compared
        ConfigSurroundings surroundings;
    };

    RouteConfigCheck(Decoder decoder, bool printsJson, std::ostream &out);

    /// \brief Prints errors, warnings and changes. Returns an ExitCode.
    int run(const Input &input);

private:
    int fail(std::string_view which, const Error &error);

    const Decoder m_decoder;
    const bool m_printsJson;
    std::ostream &m_out;
};

} // namespace foxtailring
