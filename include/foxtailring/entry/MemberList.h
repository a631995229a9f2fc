#pragma once

#include "foxtailring/decisions/servers/ListedServer.h"

#include <string>
#include <vector>

namespace foxtailring {

/// \brief The platform's VM list as an entry uses it.
struct MemberList
{
    /// \brief One entry process.
    struct Entry
    {
        std::string id;
        std::string region;
        std::string address;
    };

    std::vector<ListedServer> servers; ///< sidecars
    std::vector<Entry> entries;        ///< live ones
};

} // namespace foxtailring
