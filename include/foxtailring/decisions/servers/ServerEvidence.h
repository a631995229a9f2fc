#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/sessions/AttemptResult.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace foxtailring {

struct BackendAnswer;
struct BackendInfo;
struct ForwardContext;
struct ServerProbeResult;

/// \brief Records in the shared state what the attempts and probes of one request show about
/// servers.
class ServerEvidence
{
public:
    /// \brief Whether a report says how much its server has to do.
    enum class ReportedLoad : std::uint8_t { Given, None };

    /// \param context must outlive the object
    explicit ServerEvidence(const ForwardContext &context);

    /// \brief The status and headers of the answer to an attempt arrived.
    void recordHead(const BackendInfo &server, TimePoint sentAt, const BackendAnswer &answer,
                    TimePoint now) const;
    /// \brief An attempt ended without an answer that can be passed on.
    void recordEnd(std::string_view serverId, AttemptResult result, TimePoint now) const;
    /// \brief Servers answered a probe.
    void recordReports(std::span<const ServerProbeResult> reports, ReportedLoad load,
                       TimePoint now) const;

private:
    void recordNotice(const BackendInfo &server, const BackendAnswer &answer) const;
    void recordReport(const ServerProbeResult &report, ReportedLoad load, TimePoint now) const;

    const ForwardContext &m_context;
};

} // namespace foxtailring
