#include "foxtailring/operator/RolloutCommand.h"

#include <ostream>
#include <sstream>
#include <utility>

namespace foxtailring {

namespace {

// Gateways tell what they have seen once a second. Three reads of the store each.
constexpr std::chrono::seconds readInterval {1};

} // namespace

RolloutCommand::RolloutCommand(Options options, Hooks hooks, std::ostream &out, std::ostream &err)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_out(out)
    , m_err(err)
{
}

int RolloutCommand::run()
{
    if (m_options.follows)
        return follow();
    const auto input = m_hooks.read();
    if (!input) {
        printError(input.error());
        return NotEnded;
    }
    const RolloutReport report(input.value());
    if (m_options.printsJson)
        report.printJson(m_out);
    else
        report.printText(m_out);
    return exitCode(report);
}

// The store may be away for a while, and the order may not be written yet.
int RolloutCommand::follow()
{
    const TimePoint deadline = m_hooks.clock() + m_options.timeout;
    while (true) {
        const auto input = m_hooks.read();
        if (input) {
            const RolloutReport report(input.value());
            print(report);
            if (report.isEnded())
                return exitCode(report);
        } else {
            printError(input.error());
        }
        if (m_hooks.clock() >= deadline)
            return NotEnded;
        m_hooks.sleep(readInterval);
    }
}

void RolloutCommand::print(const RolloutReport &report)
{
    m_failure.clear();
    std::ostringstream text;
    if (m_options.printsJson)
        report.printJson(text);
    else
        report.printLine(text);
    if (text.str() == m_printed)
        return;
    m_printed = text.str();
    m_out << m_printed << std::flush;
}

void RolloutCommand::printError(const Error &error)
{
    if (error.message != m_failure)
        m_err << "foxtailringctl: the store cannot be read: " << error.message << '\n';
    m_failure = error.message;
}

int RolloutCommand::exitCode(const RolloutReport &report)
{
    switch (report.state()) {
    case RolloutReport::State::Completed:
        return Completed;
    case RolloutReport::State::RolledBack:
        return RolledBack;
    case RolloutReport::State::None:
        return Usage;
    case RolloutReport::State::Ordered:
    case RolloutReport::State::Serving:
        break;
    }
    return NotEnded;
}

} // namespace foxtailring
