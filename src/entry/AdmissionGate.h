#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/AdmissionController.h"
#include "foxtailring/transport/Timer.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace foxtailring {

class AdmissionPass;
class WorkerPool;

/// \brief Calls a request back when AdmissionController lets it start or gives up on it.
///
/// Thread-safe. Its lock is taken before that of AdmissionController, and no hook runs under it.
class AdmissionGate
{
public:
    /// A null pass means that the request was refused.
    using Hook = std::function<void(std::shared_ptr<AdmissionPass>, const AdmissionRefusal &)>;

    AdmissionGate(WorkerPool &pool, AdmissionController &controller, Clock clock);

    /// \brief \a hook runs once, possibly before submit() returns.
    /// \return ticket to withdraw() while it is queued; none when the hook has run
    std::optional<Ticket> submit(const AdmissionRequest &request, Hook hook);
    /// \brief Drops a queued request without calling its hook.
    void withdraw(Ticket ticket);
    /// \brief Ends an admitted request; called by its pass.
    void release(Ticket ticket);
    /// \brief Starts and expires queued requests.
    void pump();

private:
    using Call = std::function<void()>;
    void takeStarted(std::vector<Call> &calls);
    void takeExpired(std::vector<Call> &calls);
    Call startCall(Hook hook, Ticket ticket);

    AdmissionController &m_controller;
    Clock m_clock;
    std::mutex m_mutex;
    std::map<Ticket, Hook> m_queued;
    Timer m_timer;
};

} // namespace foxtailring
