#include "CopyOrderSender.h"

#include "foxtailring/base/StructuredLog.h"

#include "GatewayParts.h"

#include <exception>
#include <utility>

namespace foxtailring {

namespace {

// An answer that comes later is not read. Engines keep a snapshot for 4 s at least, counted from
// the order, of which the time limit of an order is 1.5 s.
constexpr std::chrono::milliseconds lateAnswerTime {2500};

Result<std::string> handleIn(const GatewayParts &parts, const Result<HttpResponse> &response)
{
    return response ? parts.codec.decodeCopyResponse(response.value())
                    : Result<std::string>(response.error());
}

// The copy that \a response names belongs to a request that is over.
void releaseUnused(GatewayParts &parts, const std::string &requestId, const CopyRun &command,
                   const Result<HttpResponse> &response)
{
    const auto handle = handleIn(parts, response);
    if (!handle)
        return;
    parts.metrics.add("gateway_copies_total{outcome=\"late\"}");
    const BackendInfo &server = command.from.info;
    if (parts.servers.acceptsNewWork(server.id))
        parts.releaseCopy(requestId, {server.address, handle.value(), server.id});
}

} // namespace

CopyOrderSender::CopyOrderSender(GatewayParts &parts, std::string requestId, Hooks hooks)
    : m_parts(parts)
    , m_requestId(std::move(requestId))
    , m_hooks(std::move(hooks))
{
}

// The order may be answered after its time limit, and after the end of the request, which does not
// wait for it. Such an answer names a copy that nobody uses.
void CopyOrderSender::send(const CopyRun &command, const std::weak_ptr<void> &owner)
{
    const std::uint64_t order = ++m_orderCount;
    m_openOrder = order;
    const auto hook = [this, owner, &parts = m_parts, requestId = m_requestId, command,
                       order](const Result<HttpResponse> &response) {
        parts.queue.post([this, owner, &parts, requestId, command, order, response] {
            if (response)
                parts.recordPause(command.from.info, response.value());
            const auto alive = owner.lock();
            if (alive && !m_isOver)
                return guard([&] { onAnswered(order, command, response); });
            releaseUnused(parts, requestId, command, response);
        });
    };
    startTimer(order, command, owner);
    m_parts.sendOrder(command.from.info.address,
                      m_parts.codec.encodeCopyRequest(m_requestId, command.to.info.address),
                      command.timeout + lateAnswerTime, hook);
}

void CopyOrderSender::startTimer(std::uint64_t order, const CopyRun &command,
                                 const std::weak_ptr<void> &owner)
{
    if (!m_timer)
        m_timer.emplace(m_parts.pool);
    m_timer->once(command.timeout, [this, owner, &parts = m_parts, order, command] {
        parts.queue.post([this, owner, order, command] {
            const auto alive = owner.lock();
            if (!alive || m_isOver || m_openOrder != order)
                return;
            m_openOrder = 0;
            guard([&] { finish(command, Error {ErrorCode::Timeout, "no answer in time"}); });
        });
    });
}

void CopyOrderSender::guard(const std::function<void()> &work)
{
    try {
        work();
    } catch (const std::exception &exception) {
        m_hooks.onException(exception.what());
    }
}

void CopyOrderSender::onAnswered(std::uint64_t order, const CopyRun &command,
                                 const Result<HttpResponse> &response)
{
    if (m_openOrder == order) {
        m_openOrder = 0;
        m_timer->cancel();
        return finish(command, response);
    }
    auto handle = handleIn(m_parts, response);
    if (!handle)
        return;
    m_parts.metrics.add("gateway_copies_total{outcome=\"late\"}");
    m_hooks.onLateCopy(command, std::move(handle).value());
}

void CopyOrderSender::finish(const CopyRun &command, const Result<HttpResponse> &response)
{
    auto handle = handleIn(m_parts, response);
    StructuredLog::info("runCopied",
                        {{"request", m_requestId},
                         {"server", command.from.info.id},
                         {"copyTo", command.to.info.id},
                         {"error", handle ? "" : handle.error().message}});
    m_parts.metrics.add(handle ? "gateway_copies_total{outcome=\"made\"}"
                               : "gateway_copies_total{outcome=\"failed\"}");
    std::optional<std::string> copyHandle;
    if (handle)
        copyHandle = std::move(handle).value();
    m_hooks.onCopied(command, std::move(copyHandle));
}

} // namespace foxtailring
