#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/operator/RolloutReport.h"

#include <functional>
#include <iosfwd>
#include <string>

namespace foxtailring {

/// \brief Shows the roll-out of a service once, or follows it until it ends.
class RolloutCommand
{
public:
    enum ExitCode : std::uint8_t {
        Completed = 0,
        RolledBack = 1,
        Usage = 2,    ///< there is no roll-out of the service
        NotEnded = 4, ///< in the given time, or the store could not be read
    };
    struct Options
    {
        bool follows = false;
        bool printsJson = false;
        Duration timeout {0}; ///< of a roll-out that is followed
    };
    struct Hooks
    {
        /// Reads what the store holds now.
        std::function<Result<RolloutReport::Input>()> read;
        std::function<TimePoint()> clock;
        std::function<void(Duration)> sleep;
    };

    RolloutCommand(Options options, Hooks hooks, std::ostream &out, std::ostream &err);

    /// \brief Returns an ExitCode.
    int run();

private:
    int follow();
    void print(const RolloutReport &report);
    void printError(const Error &error);
    static int exitCode(const RolloutReport &report);

    const Options m_options;
    const Hooks m_hooks;
    std::ostream &m_out;
    std::ostream &m_err;
    std::string m_printed; ///< the latest report
    std::string m_failure; ///< of the latest read; empty: it did not fail
};

} // namespace foxtailring
