#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/BackendAnswer.h"
#include "foxtailring/decisions/ServerProbeResult.h"
#include "foxtailring/gateway/AttemptHead.h"
#include "foxtailring/gateway/CallerRequest.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <vector>

namespace foxtailring {

/// \brief How requests and answers look on the wire of one kind of deployment.
struct BackendWire
{
    /// InvalidArgument: the request is not one that the deployment allows.
    std::function<Result<CallerRequest>(HttpRequest)> decodeRequest;
    std::function<HttpRequest(const CallerRequest &, const AttemptHead &)> encodeAttempt;
    std::function<BackendAnswer(const HttpResponse &)> decodeAnswer;
    /// Question to an engine about its load and runs.
    std::function<HttpRequest()> encodeQuestion;
    /// Malformed: not an engine's report. \a requestId: whose run is looked for in it.
    std::function<Result<ServerProbeResult>(const HttpResponse &, std::string_view requestId)>
        decodeReport;
    /// Question to an engine about the prompts that it has in memory.
    std::function<HttpRequest()> encodePromptQuestion;
    /// Malformed: not an engine's list of prompts. \a promptId: the prompt that is looked for in
    /// it.
    std::function<Result<ServerProbeResult>(const HttpResponse &, std::string_view promptId)>
        decodePrompts;
    /// Order to an engine to copy the memory of a request's run to the engine at \a to.
    std::function<HttpRequest(std::string_view requestId, const std::string &to)> encodeCopyOrder;
    /// Handle of the copy. Unavailable: there is none.
    std::function<Result<std::string>(const HttpResponse &)> decodeCopyOrder;
    std::function<HttpRequest(const std::string &handle)> encodeCopyRelease;
    /// Headers of the backend server's answer that the caller gets.
    std::function<std::vector<HttpHeader>(const HttpResponse &)> callerHeaders;
};

} // namespace foxtailring
