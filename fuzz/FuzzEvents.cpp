#include "foxtailring/protocol/EventStreamReader.h"

#include "FuzzInput.h"

#include <vector>

using namespace foxtailring;

namespace {

struct Event
{
    std::optional<std::int64_t> id;
    std::string text;

    bool operator==(const Event &) const = default;
};

std::vector<Event> readIn(std::string_view bytes, std::size_t pieceSize)
{
    EventStreamReader reader;
    std::vector<Event> events;
    const auto hook = [&events](std::optional<std::int64_t> id, std::string_view text) {
        events.push_back({id, std::string(text)});
    };
    for (; !bytes.empty(); bytes.remove_prefix(std::min(pieceSize, bytes.size())))
        require(reader.feed(bytes.substr(0, pieceSize), hook));
    return events;
}

} // namespace

// An event stream means the same in whatever pieces it arrives.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = FuzzInput(data, size).rest();
    const auto whole = readIn(bytes, bytes.size() + 1);
    require(whole == readIn(bytes, 1));
    require(whole == readIn(bytes, 3));
    return 0;
}
