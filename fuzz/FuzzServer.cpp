#include "ServerEntry.h"

#include "FuzzInput.h"

using namespace foxtailring;

// A server's entry in the list of servers.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto server = platform::decodeServer("id", FuzzInput(data, size).rest());
    require(!server || !server.value().service.empty());
    return 0;
}
