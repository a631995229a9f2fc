#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/operator/ControlOptions.h"

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace foxtailring {

class OperatorClient;
struct StoredResource;

/// \brief The commands of foxtailringctl.
///
/// Exit codes: 0 success, 1 failure, 2 usage error or invalid resource, 3 conflict with the change
/// of another operator, 4 timeout.
class ControlCommands
{
public:
    /// \param in log lines to read in the explain command
    ControlCommands(OperatorClient &client, ControlOptions options, std::istream &in,
                    std::ostream &out, std::ostream &err);

    /// \brief Runs one command and returns its exit code.
    /// \param arguments name of the command, then its arguments
    int run(std::span<const std::string> arguments);

    static std::string usage();

private:
    int apply();
    int diff();
    int check();
    int list(std::span<const std::string> arguments);
    int show(const std::string &kind, const std::string &name);
    int remove(const std::string &kind, const std::string &name);
    int watch();
    int wait(std::int64_t revision);
    int drain(const std::string &server);
    int status();
    int explain(const std::string &request);

    Result<std::int64_t> applyOne(const StoredResource &resource);
    int finishChange(std::int64_t revision);
    int fail(const Error &error);

    OperatorClient &m_client;
    ControlOptions m_options;
    std::istream &m_in;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace foxtailring
