#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/StoredResource.h"
#include "foxtailring/store/ResourceList.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace foxtailring {

class KeyValueClient;
class WorkerPool;

/// \brief The operators' resources in the platform's key-value service. Thread-safe.
///
/// Every change is a compare-and-swap on the revision that the operator has seen. A change whose
/// reply was lost is sent again with the same change id: the swap cannot take effect twice, and the
/// stored change id tells whether the first one did.
class ResourceStore
{
public:
    using ListHook = std::function<void(Result<ResourceList>)>;
    using ResourceHook = std::function<void(Result<StoredResource>)>;
    using RevisionHook = std::function<void(Result<std::int64_t>)>;

    ResourceStore(WorkerPool &pool, KeyValueClient &client);
    ~ResourceStore();

    void list(ListHook hook);
    /// \brief NotFound when there is no such resource.
    void get(const std::string &kind, const std::string &name, ResourceHook hook);
    /// \brief Stores \a resource if its present revision is \a expectedRevision (0: it must not
    /// exist).
    ///
    /// Conflict names the resource, both revisions and the writer. Timeout: the outcome is unknown.
    void put(StoredResource resource, std::int64_t expectedRevision, const ResourceHook &hook);
    /// \brief Deletes a resource at revision \a expectedRevision; returns the revision of the
    /// deletion.
    void remove(const std::string &kind, const std::string &name, std::int64_t expectedRevision,
                const RevisionHook &hook);

    /// \brief Key prefix under which resources are stored.
    static constexpr std::string_view prefix = "/foxtailring/resources/";
    static std::string keyOf(const std::string &kind, const std::string &name);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
