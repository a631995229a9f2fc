#pragma once

#include "HttpClient.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring::harness {

class SystemFixture;

/// \brief Operator client of one entry's admin port.
class OperatorClient
{
public:
    /// \brief Result of a run of foxtailringctl.
    struct Run
    {
        int exitCode = -1;
        std::string output; ///< standard output and standard error
    };

    OperatorClient(SystemFixture &system, std::size_t entry);

    /// \brief Replaces a resource if it has \a entityTag; an empty one creates it.
    Result<HttpReply> put(const nlohmann::json &resource, const std::string &entityTag,
                          const std::string &writer) const;
    /// \brief Entity tag of a resource. Throws std::runtime_error when it cannot be read.
    std::string entityTag(const std::string &kind, const std::string &name) const;
    nlohmann::json resource(const std::string &kind, const std::string &name) const;
    /// \brief Runs foxtailringctl with \a arguments and waits for its end.
    Run runControlTool(const std::vector<std::string> &arguments) const;

private:
    std::uint16_t m_port;
};

} // namespace foxtailring::harness
