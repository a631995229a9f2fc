#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/StoredResource.h"
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

/// \brief Blocking client of an entry's operator interface, for the command line.
///
/// Errors carry the problem body's detail; Conflict, NotFound, Timeout and Unavailable are told
/// apart by their code.
class OperatorClient
{
public:
    /// \param operatorName recorded as the writer of each change
    OperatorClient(const Endpoint &entry, std::string operatorName);
    ~OperatorClient();

    Result<nlohmann::json> fetchList();
    Result<nlohmann::json> fetchResource(const std::string &kind, const std::string &name);
    /// \param expectedRevision revision last seen; 0 creates the resource
    Result<nlohmann::json> put(const StoredResource &resource, std::int64_t expectedRevision);
    Result<nlohmann::json> remove(const std::string &kind, const std::string &name,
                                  std::int64_t expectedRevision);
    /// \brief Which nodes have the revision; 0 stands for the entry's own.
    Result<nlohmann::json> fetchInForce(std::int64_t revision);
    Result<nlohmann::json> fetchStatus();
    /// \brief Passes each line of the watch on until the connection ends.
    Result<Done> watch(std::int64_t from, const std::function<void(std::string_view)> &onLine);

private:
    Result<nlohmann::json> call(HttpRequest request);

    std::unique_ptr<WorkerPool> m_pool;
    std::unique_ptr<Http1Client> m_http;
    std::unique_ptr<Endpoint> m_entry;
    std::string m_operatorName;
};

} // namespace foxtailring
