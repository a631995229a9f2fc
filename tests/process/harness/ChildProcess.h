#pragma once

#include "Wait.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring::harness {

/// \brief A program under test. It is killed by the destructor, and by the kernel when the thread
/// that created the object ends.
class ChildProcess
{
public:
    /// \brief Starts the program at \a path. Throws std::exception when it cannot be started.
    ChildProcess(const std::string &path, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    int id() const;
    /// \brief Waits for the output line `listening PORT`, or `listening NAME PORT` when \a name is
    /// given, and returns the port. Throws std::runtime_error when the process exits or \a timeout
    /// passes before the line appears.
    std::uint16_t port(const std::string &name = {},
                       std::chrono::milliseconds timeout = defaultTimeout);
    /// \brief Lines written to the standard output so far.
    std::vector<std::string> output() const;

    void pause();     ///< SIGSTOP
    void resume();    ///< SIGCONT
    void terminate(); ///< SIGTERM
    void kill();      ///< SIGKILL

    bool isRunning();
    /// \brief Waits for the process to end and returns its exit status, or the negative number of
    /// the signal that killed it; nothing when it still runs after \a timeout.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout = defaultTimeout);

private:
    struct State;
    void sendSignal(int signal);
    std::optional<std::uint16_t> findPort(const std::string &prefix) const;

    std::unique_ptr<State> m_state;
};

} // namespace foxtailring::harness
