#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/transport/HttpResponse.h"
#include "foxtailring/transport/Timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

struct GatewayParts;

/// \brief Sends the orders to copy one request's run, and reports each one once: with its answer,
/// or as failed after its time limit.
///
/// The request does not wait for orders. A snapshot that is made after its end is released. Runs on
/// the gateway's queue.
class CopyOrderSender
{
public:
    /// \brief Called on the queue.
    struct Hooks
    {
        /// An order is over; no handle: it failed.
        std::function<void(const CopyRun &, std::optional<std::string> handle)> onCopied;
        /// An order that was reported as failed has made a snapshot after all.
        std::function<void(const CopyRun &, std::string handle)> onLateCopy;
        /// The codec or a hook has thrown.
        std::function<void(std::string_view message)> onException;
    };

    /// \param parts must outlive the object and its orders
    CopyOrderSender(GatewayParts &parts, std::string requestId, Hooks hooks);

    /// \brief Sends an order. An earlier one that is not answered yet counts as given up.
    /// \param owner keeps this object alive as long as it lives itself
    void send(const CopyRun &command, const std::weak_ptr<void> &owner);
    /// \brief The request is over: no hook is called any more.
    void end() { m_isOver = true; }

private:
    void startTimer(std::uint64_t order, const CopyRun &command, const std::weak_ptr<void> &owner);
    /// Runs \a work; reports an exception.
    void guard(const std::function<void()> &work);
    void onAnswered(std::uint64_t order, const CopyRun &command,
                    const Result<HttpResponse> &response);
    void finish(const CopyRun &command, const Result<HttpResponse> &response);

    GatewayParts &m_parts;
    const std::string m_requestId;
    const Hooks m_hooks;
    std::optional<Timer> m_timer;
    std::uint64_t m_orderCount = 0;
    std::uint64_t m_openOrder = 0; ///< number of the order that may still be used; 0: none
    bool m_isOver = false;
};

} // namespace foxtailring
