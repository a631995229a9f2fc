#include "KvJson.h"

#include "FuzzInput.h"

#include <nlohmann/json.hpp>

using namespace foxtailring;

// Replies of the key-value service.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto reply = nlohmann::json::parse(FuzzInput(data, size).rest(), nullptr, false);
    if (!reply.is_object())
        return 0;
    (void)platform::decodeItem(reply);
    if (const auto page = platform::decodePage(reply)) {
        for (const KeyValue &pair : page.value().pairs)
            require(pair.modRevision <= page.value().revision);
    }
    if (const auto changes = platform::decodeChanges(reply)) {
        for (const WatchEvent &event : changes.value().events)
            require(event.pair.modRevision <= changes.value().revision);
    }
    (void)platform::decodeConflict(reply, "key");
    return 0;
}
