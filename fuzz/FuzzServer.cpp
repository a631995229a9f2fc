#include "foxtailring/transport/Endpoint.h"
#include "ServerEntry.h"

#include "FuzzInput.h"

using namespace foxtailring;

// A server's entry in the list of servers.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto server = platform::decodeServer("id", FuzzInput(data, size).rest());
    if (!server)
        return 0;
    const BackendInfo &info = server.value();
    require(!info.service.empty() && info.slots > 0 && info.startedAtMs >= 0);
    require(Endpoint::parse(info.address).value().isConnectable());
    return 0;
}
