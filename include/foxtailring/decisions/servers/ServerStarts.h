#pragma once

#include "foxtailring/decisions/servers/BackendInfo.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief A set of backend servers, each by its latest start.
///
/// Remembers servers whose entries have gone, since the same start may be listed again. Holds a
/// limited number of servers and drops those that were added first.
class ServerStarts
{
public:
    static constexpr std::size_t maxSize = 4096;

    /// \brief Adds \a server in place of an earlier start of it. Takes over its start time if that
    /// was not given before.
    void insert(const BackendInfo &server);
    bool contains(const BackendInfo &server) const;
    /// \brief True if \a server or a later start of it was added.
    bool containsSameOrLater(const BackendInfo &server) const;
    /// \brief The latest start of the server that was added; null: none.
    const BackendInfo *find(std::string_view id) const;
    void erase(std::string_view id);
    std::size_t size() const { return m_servers.size(); }

private:
    std::map<std::string, BackendInfo, std::less<>> m_servers; ///< by id
    std::deque<std::string> m_order;                           ///< ids, those added first in front
};

} // namespace foxtailring
