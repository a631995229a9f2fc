#pragma once

#include "foxtailring/decisions/servers/ServerState.h"

#include <string_view>
#include <vector>

namespace foxtailring {

struct EntryParts;

/// \brief Which servers of a service are responsible for an idempotency key.
struct KeyOwner
{
    /// \brief Live and leaving servers of \a service for this key, the most responsible one first.
    ///
    /// Every entry ranks all servers, not only those it follows, so that they agree.
    static std::vector<ServerState> rank(const EntryParts &parts, std::string_view service,
                                         std::string_view account, std::string_view key);
};

} // namespace foxtailring
