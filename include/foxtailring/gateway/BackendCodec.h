#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/BackendAnswer.h"
#include "foxtailring/decisions/ServerProbeResult.h"
#include "foxtailring/gateway/AttemptMetadata.h"
#include "foxtailring/gateway/GatewayRequest.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <vector>

namespace foxtailring {

/// \brief How requests and answers look on the wire of one kind of deployment.
struct BackendCodec
{
    /// InvalidArgument: the request is not one that the deployment allows.
    std::function<Result<GatewayRequest>(HttpRequest)> decodeRequest;
    std::function<HttpRequest(const GatewayRequest &, const AttemptMetadata &)> encodeAttempt;
    std::function<BackendAnswer(const HttpResponse &)> decodeAnswer;
    /// Question to an engine about its load and runs.
    std::function<HttpRequest()> encodeLoadProbe;
    /// Malformed: not an engine's report. \a requestId: whose run is looked for in it.
    std::function<Result<ServerProbeResult>(const HttpResponse &, std::string_view requestId)>
        decodeLoadReport;
    /// Question to an engine about the prompts that it has in memory.
    std::function<HttpRequest()> encodePromptProbe;
    /// Malformed: not an engine's list of prompts. \a promptId: the prompt that is looked for in
    /// it.
    std::function<Result<ServerProbeResult>(const HttpResponse &, std::string_view promptId)>
        decodePromptList;
    /// Order to an engine to copy the memory of a request's run to the engine at \a to.
    std::function<HttpRequest(std::string_view requestId, const std::string &to)> encodeCopyRequest;
    /// Handle of the copy. Unavailable: there is none.
    std::function<Result<std::string>(const HttpResponse &)> decodeCopyResponse;
    std::function<HttpRequest(const std::string &handle)> encodeCopyRelease;
    /// Headers of the backend server's answer that the caller gets.
    std::function<std::vector<HttpHeader>(const HttpResponse &)> callerResponseHeaders;
};

} // namespace foxtailring
