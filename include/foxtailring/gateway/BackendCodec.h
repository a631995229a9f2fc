#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/gateway/AttemptMetadata.h"
#include "foxtailring/gateway/GatewayRequest.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <vector>

namespace foxtailring {

/// \brief Translates between the gateway's types and the wire format of one kind of deployment.
struct BackendCodec
{
    /// InvalidArgument: the request is malformed or ambiguous.
    std::function<Result<GatewayRequest>(HttpRequest)> decodeRequest;
    std::function<HttpRequest(const GatewayRequest &, const AttemptMetadata &)> encodeAttempt;
    std::function<BackendAnswer(const HttpResponse &)> decodeAnswer;
    /// Asks an engine for its load and its runs.
    std::function<HttpRequest()> encodeLoadProbe;
    /// Malformed: not an engine's report. \a requestId: the run to look up in it.
    std::function<Result<ServerProbeResult>(const HttpResponse &, std::string_view requestId)>
        decodeLoadReport;
    /// Asks an engine for the prompts that it has in memory.
    std::function<HttpRequest()> encodePromptProbe;
    /// Malformed: not an engine's list of prompts. \a promptId: the prompt to look up in it.
    std::function<Result<ServerProbeResult>(const HttpResponse &, std::string_view promptId)>
        decodePromptList;
    /// Tells an engine to copy the memory of a request's run to the engine at \a to.
    std::function<HttpRequest(std::string_view requestId, const std::string &to)> encodeCopyRequest;
    /// Returns the handle of the copy. Unavailable: no copy was made. Malformed: no handle in the
    /// response.
    std::function<Result<std::string>(const HttpResponse &)> decodeCopyResponse;
    std::function<HttpRequest(const std::string &handle)> encodeCopyRelease;
    /// Headers of the backend server's answer that are forwarded to the caller.
    std::function<std::vector<HttpHeader>(const HttpResponse &)> callerResponseHeaders;
};

} // namespace foxtailring
