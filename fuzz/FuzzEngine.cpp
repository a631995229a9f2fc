#include "foxtailring/transport/HttpResponse.h"
#include "WireFormat.h"

#include "FuzzInput.h"

using namespace foxtailring;

// What engines answer about their load, their prompts and their copies.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const BackendCodec codec = platform::backendCodec();
    const HttpResponse response {200, {}, std::string(FuzzInput(data, size).rest())};
    (void)codec.decodeLoadReport(response, "5c1e07a2");
    (void)codec.decodePromptList(response, "5c1e07a2");
    (void)codec.decodeCopyResponse(response);
    return 0;
}
