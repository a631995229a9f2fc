#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/StoredResource.h"
#include "foxtailring/transport/HttpResponse.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace foxtailring {

class Http1Client;
class WorkerPool;
struct Endpoint;
struct HttpRequest;

/// \brief Blocking client of an entry's operator interface, used by foxtailringctl.
///
/// Errors carry the problem body's detail; their code distinguishes InvalidArgument, Unauthorized,
/// NotFound, Conflict, Unavailable and Timeout.
class OperatorClient
{
public:
    /// \param operatorName recorded as the writer of each change
    OperatorClient(const Endpoint &entry, std::string operatorName);
    ~OperatorClient();

    Result<nlohmann::json> fetchList();
    Result<nlohmann::json> fetchResource(const std::string &kind, const std::string &name);
    /// \param entityTag of the resource as last read; empty creates it. Any other tag in the store
    /// is a Conflict
    Result<nlohmann::json> put(const StoredResource &resource, const std::string &entityTag);
    Result<nlohmann::json> remove(const std::string &kind, const std::string &name,
                                  const std::string &entityTag);
    /// \brief Reports which nodes have \a revision in force; 0 means the current revision of the
    /// entry.
    Result<nlohmann::json> fetchInForce(std::int64_t revision);
    Result<nlohmann::json> fetchStatus();
    /// \brief Streams changes after revision \a from; calls \a onLine with each line, blocks until
    /// the connection ends.
    Result<Done> watch(std::int64_t from, const std::function<void(std::string_view)> &onLine);

private:
    Result<nlohmann::json> call(HttpRequest request);

    std::unique_ptr<WorkerPool> m_pool;
    std::unique_ptr<Http1Client> m_http;
    std::unique_ptr<Endpoint> m_entry;
    std::string m_operatorName;
};

} // namespace foxtailring
