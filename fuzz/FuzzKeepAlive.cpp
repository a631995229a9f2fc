#include "KeepAliveTimeout.h"

#include "FuzzInput.h"

using namespace foxtailring;

// The Keep-Alive header of a server.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto timeout = keepAliveTimeout(FuzzInput(data, size).rest());
    require(!timeout || (timeout->count() >= 0 && *timeout <= std::chrono::hours(24)));
    return 0;
}
