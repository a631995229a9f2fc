#include "KeyOwner.h"

#include "foxtailring/decisions/placement/RendezvousHash.h"

#include "EntryParts.h"

#include <map>
#include <string>

namespace foxtailring {

std::vector<ServerState> KeyOwner::rank(const EntryParts &parts, std::string_view service,
                                        std::string_view account, std::string_view key)
{
    std::map<std::string, ServerState> reachable;
    std::vector<std::string> names;
    for (const ServerState &server : parts.servers.servers(service, parts.clock())) {
        if (server.status != ServerStatus::Live && server.status != ServerStatus::Leaving)
            continue;
        names.push_back(server.info->id);
        reachable.emplace(server.info->id, server);
    }
    // A newline cannot occur in the name of an account.
    const std::string joined = std::string(account) + '\n' + std::string(key);
    std::vector<ServerState> ranked;
    for (const std::string &name : RendezvousHash::rank(joined, names))
        ranked.push_back(reachable.at(name));
    return ranked;
}

} // namespace foxtailring
