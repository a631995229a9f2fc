#include "ConfigDocument.h"
#include "foxtailring/decisions/configuration/RouteTable.h"

#include "FuzzInput.h"

using namespace foxtailring;

// The operators' configuration, and the table of routes that is made of it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    auto config = platform::decodeConfig(FuzzInput(data, size).rest());
    if (!config)
        return 0;
    const RouteTable table(std::move(config).value());
    for (const HttpRoute &route : table.config().routes)
        require(table.route(route.host, route.pathPrefix) != nullptr);
    (void)table.route("unknown.example:80", "/");
    (void)table.account("unknown");
    return 0;
}
