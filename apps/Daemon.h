#pragma once

#include "foxtailring/base/Result.h"

#include <functional>
#include <string>

namespace foxtailring {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// \brief Common part of the daemons' main() functions: flags, settings and shutdown signals.
///
/// Flags: `--config FILE` and `--check-config`. Errors in the settings go to standard error.
class Daemon
{
public:
    /// \brief Reads the settings from a file and keeps them for Run.
    using Load = std::function<Result<Done>(const std::string &path)>;
    /// \brief Runs with the settings that were read; returns the exit code.
    using Run = std::function<int()>;

    static int main(int argc, char **argv, const Load &load, const Run &run);

    /// \brief Blocks until SIGTERM or SIGINT; SIGHUP is logged and ignored.
    static void waitForShutdown();
};

} // namespace foxtailring
