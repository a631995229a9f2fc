#include "foxtailring/transport/HttpResponse.h"
#include "WireFormat.h"

#include "FuzzInput.h"

using namespace foxtailring;

// Heads of callers' requests and of servers' answers: a target, then `name: value` in each line.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const BackendCodec codec = platform::backendCodec();
    FuzzInput input(data, size);
    HttpRequest request {"POST", std::string(input.takeLine()), {}, "body"};
    while (!input.isEmpty()) {
        const std::string_view line = input.takeLine();
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos)
            request.headers.push_back(
                {std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
    }
    const HttpResponse response {200, request.headers, ""};
    (void)codec.decodeAnswer(response);
    // Only an answer with this status can ask for a pause.
    const BackendAnswer away = codec.decodeAnswer({503, request.headers, ""});
    if (away.pause && (*away.pause < Duration {0} || *away.pause > std::chrono::minutes(1)))
        __builtin_trap();
    (void)codec.callerResponseHeaders(response);
    const auto decoded = codec.decodeRequest(request);
    if (decoded)
        (void)codec.encodeAttempt(decoded.value(), AttemptMetadata {});
    return 0;
}
