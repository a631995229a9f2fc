#include "RateLimitReportCodec.h"

#include "FuzzInput.h"

using namespace foxtailring;

// A gateway's report of rate limits, as another gateway reads it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto report = RateLimitReportCodec::decode(FuzzInput(data, size).rest());
    if (!report)
        return 0;
    const auto again = RateLimitReportCodec::decode(RateLimitReportCodec::encode(report.value()));
    require(again && again.value().entries.size() == report.value().entries.size());
    return 0;
}
