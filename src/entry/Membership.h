#pragma once

#include "foxtailring/decisions/placement/SubsetSelector.h"
#include "foxtailring/entry/MemberList.h"
#include "foxtailring/transport/Timer.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct EntryParts;

/// \brief Decides from the VM list which sidecars this entry follows. Thread-safe.
class Membership
{
public:
    explicit Membership(EntryParts &parts);

    void apply(const MemberList &list);
    /// \brief Entries of the list last applied, this one excepted.
    std::vector<MemberList::Entry> otherEntries() const;

private:
    using Names = std::vector<std::string>;
    struct Group
    {
        std::map<std::string, Names> byRegion; ///< server ids
        std::size_t size = 0;
    };

    Names follow(const std::string &service, const Group &group, const MemberList &list) const;
    Names entryNames(const MemberList &list, std::string_view region) const;
    void updateCapacities();

    EntryParts &m_parts;
    SubsetSelector m_ownRegion;
    SubsetSelector m_otherRegion;
    mutable std::mutex m_mutex;
    std::vector<MemberList::Entry> m_otherEntries;
    std::map<std::string, std::uint32_t> m_sharers; ///< entries at the same servers, by service
    Timer m_timer;
};

} // namespace foxtailring
