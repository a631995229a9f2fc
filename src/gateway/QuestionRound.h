#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/ServerReport.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace foxtailring {

struct AskServers;
struct BackendState;
struct GatewayParts;
struct HttpResponse;

/// \brief Asks several engines how they are doing, and reports once what came in time.
///
/// Runs on the queue of the gateway; the questions keep it alive.
class QuestionRound : public std::enable_shared_from_this<QuestionRound>
{
public:
    using Hook = std::function<void(std::span<const ServerReport>)>;

    /// \param requestId the request for whose run the engines are asked
    QuestionRound(GatewayParts &parts, std::string requestId, Hook hook);

    void start(const AskServers &question);

private:
    void ask(const BackendState &server, const AskServers &question);
    void answered(const std::string &serverId, const Result<HttpResponse> &response);

    GatewayParts &m_parts;
    const std::string m_requestId;
    const Hook m_hook;
    std::vector<ServerReport> m_reports;
    std::size_t m_open = 0; ///< questions without an answer
};

} // namespace foxtailring
