#include "SpeedReportCodec.h"

#include "FuzzInput.h"

using namespace foxtailring;

// A gateway's report of the speed of engines, as another gateway reads it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto report = SpeedReportCodec::decode(FuzzInput(data, size).rest());
    if (!report)
        return 0;
    const auto again = SpeedReportCodec::decode(SpeedReportCodec::encode(report.value()));
    require(again && again.value() == report.value());
    return 0;
}
