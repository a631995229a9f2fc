#include "CrashReportCodec.h"

#include "FuzzInput.h"

using namespace foxtailring;

// A gateway's report of crashes, as another gateway reads it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto report = CrashReportCodec::decode(FuzzInput(data, size).rest());
    if (!report)
        return 0;
    const auto again = CrashReportCodec::decode(CrashReportCodec::encode(report.value()));
    require(again && again.value() == report.value());
    return 0;
}
