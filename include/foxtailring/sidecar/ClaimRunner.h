#pragma once

#include "foxtailring/decisions/claims/ClaimTable.h"
#include "foxtailring/protocol/Call.h"
#include "foxtailring/protocol/CallResult.h"
#include "foxtailring/sidecar/CallForwarder.h"
#include "foxtailring/sidecar/ClaimStore.h"
#include "foxtailring/sidecar/SidecarContext.h"
#include "foxtailring/transport/Timer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace foxtailring {

class WorkTicket;

/// \brief Carries out the actions of a ClaimTable. Thread-safe.
class ClaimRunner : public std::enable_shared_from_this<ClaimRunner>
{
public:
    using ResultHook = std::function<void(const CallResult &)>;

    ClaimRunner(const SidecarContext &context, ClaimStore store,
                std::shared_ptr<const CallForwarder> forwarder);

    /// \param work held until the call has ended; nullptr: only answered from memory
    /// \param hook runs exactly once
    void run(const Call &call, std::shared_ptr<WorkTicket> work, ResultHook hook);
    void stop();
    std::size_t pendingClaims() const;

private:
    struct Pending
    {
        Call call;
        std::shared_ptr<WorkTicket> work;
        ResultHook hook;
    };

    void perform(const ClaimActions &actions);
    void perform(const ReadBucket &read);
    void perform(const SwapBucket &swap);
    void perform(const SendCall &send);
    void perform(const AnswerCall &answer);
    void onSwapDone(const SwapBucket &swap, const Result<BucketSwap> &result);
    void onCallDone(const SendCall &send, const Result<HttpResponse> &response);
    void schedule();
    void tick();
    ClockReadings clockReadings() const;
    std::string path(std::uint32_t bucket) const;

    const SidecarContext m_context;
    const ClaimStore m_store;
    const std::shared_ptr<const CallForwarder> m_forwarder;
    ClaimTable m_table;

    std::mutex m_timerMutex; // guards m_timer; taken before the table's lock
    Timer m_timer;

    std::mutex m_mutex; // guards all below
    std::uint64_t m_lastCallId = 0;
    std::map<std::uint64_t, Pending> m_pending; ///< by callId
};

} // namespace foxtailring
