#pragma once

#include "foxtailring/operator/OperatorHooks.h"

#include <memory>

namespace foxtailring {

class ConfigState;
class Http1Client;
class Http1Responder;
class ResourceStore;
class WorkerPool;
struct HttpRequest;

/// \brief HTTP interface for operators under `/operator/v1`. Thread-safe.
///
/// Errors are RFC 9457 problem bodies: 400 for an invalid resource, 404, 409 for a conflict between
/// operators, 428 for a missing or invalid `If-Match`, 503 while the platform's service is
/// unavailable, and 504 when the outcome of a change is unknown; 503 and 504 carry `Retry-After`.
class OperatorApi
{
public:
    OperatorApi(WorkerPool &pool, ResourceStore &store, ConfigState &config, Http1Client &http,
                OperatorHooks hooks);
    ~OperatorApi();

    void handle(const HttpRequest &request, std::shared_ptr<Http1Responder> responder);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
