#include "ChildProcess.h"

#include <utility>

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <boost/process/pipe.hpp>
#include <charconv>
#include <csignal>
#include <mutex>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace foxtailring::harness {

namespace {

namespace process = boost::process;

constexpr unsigned firstInheritedFd = STDERR_FILENO + 1;

// Runs in the child between fork and exec. The child gets killed when its creator ends, so that an
// aborted test leaves no process behind, and does not inherit the test's sockets and pipes.
// process::limit_handles of Boost 1.74 isn't used since it also closes the redirected output.
void prepareChild()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::close_range(firstInheritedFd, ~0U, CLOSE_RANGE_CLOEXEC);
}

} // namespace

struct ChildProcess::State
{
    process::ipstream stream;
    process::child child;
    std::thread reader;
    std::mutex mutex; // guards lines
    std::vector<std::string> lines;

    void readLines()
    {
        for (std::string line; std::getline(stream, line);) {
            const std::lock_guard lock(mutex);
            lines.push_back(line);
        }
    }
};

ChildProcess::ChildProcess(const std::string &path, const std::vector<std::string> &arguments)
    : m_state(std::make_unique<State>())
{
    m_state->child = process::child(
        process::exe = path, process::args = arguments, process::std_out > m_state->stream,
        process::extend::on_exec_setup = [](auto &) { prepareChild(); });
    m_state->reader = std::thread([state = m_state.get()] { state->readLines(); });
}

ChildProcess::~ChildProcess()
{
    kill();
    std::error_code ignored;
    m_state->child.wait(ignored);
    m_state->reader.join();
}

int ChildProcess::id() const
{
    return m_state->child.id();
}

std::uint16_t ChildProcess::port(const std::string &name, std::chrono::milliseconds timeout)
{
    const std::string prefix = name.empty() ? "listening " : "listening " + name + ' ';
    std::optional<std::uint16_t> found;
    waitUntil(
        [&] {
            found = findPort(prefix);
            return found || !isRunning();
        },
        timeout);
    if (!found)
        throw std::runtime_error("no line \"" + prefix + "PORT\" from process "
                                 + std::to_string(id()));
    return *found;
}

std::vector<std::string> ChildProcess::output() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->lines;
}

void ChildProcess::pause()
{
    sendSignal(SIGSTOP);
}

void ChildProcess::resume()
{
    sendSignal(SIGCONT);
}

void ChildProcess::terminate()
{
    sendSignal(SIGTERM);
}

void ChildProcess::kill()
{
    sendSignal(SIGKILL);
}

bool ChildProcess::isRunning()
{
    std::error_code ignored;
    return m_state->child.running(ignored);
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    // Polls, since Boost.Process 1.74 implements a timed wait by forking a helper process.
    if (!waitUntil([this] { return !isRunning(); }, timeout))
        return std::nullopt;
    const int status = m_state->child.native_exit_code();
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

// The kernel does not reuse the id before the exit status is collected, so the signal cannot reach
// another process.
void ChildProcess::sendSignal(int signal)
{
    if (isRunning())
        ::kill(id(), signal);
}

std::optional<std::uint16_t> ChildProcess::findPort(const std::string &prefix) const
{
    for (const std::string &line : output()) {
        if (!line.starts_with(prefix))
            continue;
        std::uint16_t port = 0;
        const char *end = line.data() + line.size();
        const auto [last, error] = std::from_chars(line.data() + prefix.size(), end, port);
        if (error == std::errc() && last == end)
            return port;
    }
    return std::nullopt;
}

} // namespace foxtailring::harness
