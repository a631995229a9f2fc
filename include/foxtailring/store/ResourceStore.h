#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/decisions/configuration/StoredResource.h"
#include "foxtailring/store/ResourceList.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace foxtailring {

class KeyValueClient;
class WorkerPool;

/// \brief Stores the operators' resources in the platform's key-value service. Thread-safe.
///
/// Every change is conditional on the revision that the operator has seen; a revision of another
/// epoch of the service, which was restored from a backup in between, is a Conflict. A change whose
/// reply was lost is retried with the same change id: it cannot be applied twice, and the stored
/// change id shows whether the first attempt was applied.
class ResourceStore
{
public:
    using ListHook = std::function<void(Result<ResourceList>)>;
    using ResourceHook = std::function<void(Result<StoredResource>)>;
    using RevisionHook = std::function<void(Result<std::int64_t>)>;

    ResourceStore(WorkerPool &pool, KeyValueClient &client);
    ~ResourceStore();

    void list(ListHook hook);
    /// \brief Reads one resource; NotFound when it does not exist.
    void get(const std::string &kind, const std::string &name, ResourceHook hook);
    /// \brief Stores \a resource if its revision is \a expected (number 0: it does not exist).
    ///
    /// Conflict: the message names the resource, both revisions and the last writer. Timeout: the
    /// change may have been applied.
    void put(StoredResource resource, StoreRevision expected, const ResourceHook &hook);
    /// \brief Deletes a resource if its revision is \a expected; returns the store revision of the
    /// deletion. Same errors as put().
    void remove(const std::string &kind, const std::string &name, StoreRevision expected,
                const RevisionHook &hook);

    /// \brief Key prefix under which resources are stored.
    static constexpr std::string_view prefix = "/foxtailring/resources/";
    static std::string keyOf(const std::string &kind, const std::string &name);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
