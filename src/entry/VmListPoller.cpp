#include "VmListPoller.h"

#include "foxtailring/base/StructuredLog.h"

#include "EntryParts.h"
#include "foxtailring/base/Jitter.h"

namespace foxtailring {

VmListPoller::VmListPoller(EntryParts &parts, Http1Client &http, Hook hook)
    : m_parts(parts)
    , m_client(http, parts.settings.platform)
    , m_hook(std::move(hook))
    , m_timer(parts.pool)
{
}

void VmListPoller::start()
{
    poll();
}

void VmListPoller::stop()
{
    m_timer.cancel();
}

void VmListPoller::poll()
{
    m_client.list([weak = weak_from_this()](const Result<std::vector<Vm>> &result) {
        if (const auto self = weak.lock())
            self->answered(result);
    });
}

void VmListPoller::answered(const Result<std::vector<Vm>> &result)
{
    if (result)
        m_hook(members(result.value()));
    else
        m_parts.metrics.add("vm_list_failures_total");
    if (std::exchange(m_failing, !result) == result.isOk()) {
        if (result)
            StructuredLog::info("vmListFollowed");
        else
            StructuredLog::warn("vmListUnavailable", {{"message", result.error().message}});
    }
    m_timer.once(jittered(m_parts.settings.vmListInterval), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->poll();
    });
}

MemberList VmListPoller::members(const std::vector<Vm> &vms)
{
    MemberList list;
    for (const Vm &vm : vms) {
        if (!vm.isEntry)
            list.servers.push_back(
                {{vm.id, vm.service, vm.address, vm.region, vm.availabilityZone}, vm.isLeaving});
        else if (!vm.isLeaving)
            list.entries.push_back({vm.id, vm.region, vm.address});
    }
    return list;
}

} // namespace foxtailring
