#pragma once

#include "Net.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailring {

/// \brief A timer whose hooks run on a strand. To be used on that strand only.
///
/// A hook that was cancelled or replaced does not run, not even if its time had come already.
class StrandTimer
{
public:
    explicit StrandTimer(const Strand &strand);
    ~StrandTimer();
    StrandTimer(const StrandTimer &) = delete;
    StrandTimer &operator=(const StrandTimer &) = delete;

    /// \brief Runs \a hook once after \a delay; replaces an earlier setting.
    void start(std::chrono::milliseconds delay, std::function<void()> hook);
    void cancel();

private:
    using Clock = std::chrono::steady_clock;

    net::basic_waitable_timer<Clock, net::wait_traits<Clock>, Strand> m_timer;
    /// Incremented by each start() and cancel(); the handlers in the queue may outlive the timer.
    const std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

} // namespace foxtailring
