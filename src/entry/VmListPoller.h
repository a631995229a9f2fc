#pragma once

#include "foxtailring/entry/MemberList.h"
#include "foxtailring/store/Vm.h"
#include "foxtailring/store/VmListClient.h"
#include "foxtailring/transport/Timer.h"

#include <functional>
#include <memory>
#include <vector>

namespace foxtailring {

class Http1Client;
struct EntryParts;

/// \brief Asks for the platform's VM list at intervals; a failed poll changes nothing.
class VmListPoller : public std::enable_shared_from_this<VmListPoller>
{
public:
    using Hook = std::function<void(const MemberList &)>;

    /// \param http must live as long as the poller
    VmListPoller(EntryParts &parts, Http1Client &http, Hook hook);

    void start();
    void stop();

    static MemberList members(const std::vector<Vm> &vms);

private:
    void poll();
    void answered(const Result<std::vector<Vm>> &result);

    EntryParts &m_parts;
    VmListClient m_client;
    Hook m_hook;
    Timer m_timer;
    bool m_failing = false; ///< used by one answer at a time
};

} // namespace foxtailring
