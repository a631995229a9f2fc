#include "Membership.h"

#include "EntryParts.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

// Reports come every 500 ms, so that limits follow them without much delay.
constexpr std::chrono::milliseconds capacityInterval {250};

SubsetSelector::Settings selectorSettings(std::size_t size)
{
    SubsetSelector::Settings out;
    out.minSubsetSize = size;
    return out;
}

} // namespace

Membership::Membership(EntryParts &parts)
    : m_parts(parts)
    , m_ownRegion(selectorSettings(parts.settings.subsetSize))
    , m_otherRegion(selectorSettings(parts.settings.remoteSubsetSize))
    , m_timer(parts.pool)
{
    m_timer.every(capacityInterval, [this] { updateCapacities(); });
}

void Membership::apply(const MemberList &list)
{
    m_parts.servers.applyVmList(list.servers, m_parts.clock());
    std::map<std::string, Group> services;
    std::map<std::string, std::string> addresses;
    for (const ListedServer &server : list.servers) {
        Group &group = services[server.info.service];
        group.byRegion[server.info.region].push_back(server.info.id);
        ++group.size;
        addresses[server.info.id] = server.info.address;
    }
    std::map<std::string, std::string> followed;
    std::map<std::string, std::uint32_t> sharers;
    const auto entries = static_cast<double>(entryNames(list, {}).size());
    for (const auto &[service, group] : services) {
        Names names = follow(service, group, list);
        for (const std::string &name : names)
            followed[name] = addresses[name];
        const double part = static_cast<double>(names.size()) / static_cast<double>(group.size);
        sharers[service] = static_cast<std::uint32_t>(std::max(1.0, std::round(entries * part)));
        m_parts.servers.setSubset(service, std::move(names));
    }
    m_parts.links.follow(followed);
    m_parts.admissionController.setLiveEntries(static_cast<std::uint32_t>(entries));
    m_parts.resumeAdmission.setLiveEntries(static_cast<std::uint32_t>(entries));
    {
        const std::lock_guard lock(m_mutex);
        m_sharers = std::move(sharers);
        m_otherEntries = list.entries;
        std::erase_if(m_otherEntries, [this](const MemberList::Entry &entry) {
            return entry.id == m_parts.settings.nodeId;
        });
    }
    updateCapacities();
}

// A part of the servers of every region, so that the loss of one region leaves candidates.
Membership::Names Membership::follow(const std::string &service, const Group &group,
                                     const MemberList &list) const
{
    Names followed;
    for (const auto &[region, servers] : group.byRegion) {
        const bool isOwn = region == m_parts.settings.region;
        const Names entries = entryNames(list, isOwn ? region : std::string_view());
        const SubsetSelector &selector = isOwn ? m_ownRegion : m_otherRegion;
        for (std::string &name :
             selector.select(service, region, m_parts.settings.nodeId, entries, servers))
            followed.push_back(std::move(name));
    }
    return followed;
}

Membership::Names Membership::entryNames(const MemberList &list, std::string_view region) const
{
    Names names;
    for (const MemberList::Entry &entry : list.entries) {
        if (region.empty() || entry.region == region)
            names.push_back(entry.id);
    }
    // The list lags and may not name this entry yet.
    const std::string &own = m_parts.settings.nodeId;
    if (std::find(names.begin(), names.end(), own) == names.end())
        names.push_back(own);
    return names;
}

void Membership::updateCapacities()
{
    std::map<std::string, std::uint32_t> sharers;
    {
        const std::lock_guard lock(m_mutex);
        sharers = m_sharers;
    }
    const TimePoint now = m_parts.clock();
    for (const auto &[service, count] : sharers) {
        const auto servers = m_parts.servers.servers(service, now);
        m_parts.admissionController.updateCapacity(service, servers, count);
        const auto live = std::count_if(servers.begin(), servers.end(), [](const auto &server) {
            return server.status == ServerStatus::Live;
        });
        m_parts.resumeAdmission.setRate(
            service, m_parts.settings.resumesPerServer * std::max(1.0, static_cast<double>(live)));
        m_parts.admissionController.setNewWorkShare(
            service, m_parts.resumeAdmission.newWorkShare(service, now));
    }
    m_parts.admission.pump();
}

std::vector<MemberList::Entry> Membership::otherEntries() const
{
    const std::lock_guard lock(m_mutex);
    return m_otherEntries;
}

} // namespace foxtailring
