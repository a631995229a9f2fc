#include "foxtailring/store/ResourceStore.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/Timer.h"
#include "foxtailring/transport/WorkerPool.h"

#include <chrono>
#include <mutex>

namespace foxtailring {

namespace {

// Five attempts of at most 2 s each end before the operator's client times out.
constexpr int maxAttempts = 5;
constexpr std::chrono::milliseconds retryDelay {200};

bool mayHaveBeenApplied(ErrorCode code)
{
    return code == ErrorCode::Timeout || code == ErrorCode::Closed || code == ErrorCode::Malformed
        || code == ErrorCode::Stale;
}

Error conflict(const StoredResource &current, const std::string &label, StoreRevision expected)
{
    const std::string expectation = expected.number == 0
        ? "that it does not exist"
        : "revision " + std::to_string(expected.number);
    if (expected.number != 0 && expected.epoch != current.epoch)
        return {ErrorCode::Conflict,
                label + ": the change expects " + expectation
                    + ", but the platform's store has been restored from a backup since then"};
    if (current.revision == 0)
        return {ErrorCode::Conflict,
                label + ": the change expects " + expectation + ", but it has been deleted"};
    return {ErrorCode::Conflict,
            label + ": the change expects " + expectation + ", but it is at revision "
                + std::to_string(current.revision) + ", written by \"" + current.writer + "\""};
}

StoredResource decodeResource(const KeyValue &pair, std::int64_t epoch)
{
    auto decoded = StoredResource::fromJson(pair.value, pair.modRevision);
    StoredResource resource;
    if (decoded)
        resource = std::move(decoded).value();
    else
        resource.writer = "unknown";
    resource.revision = pair.modRevision;
    resource.epoch = epoch;
    return resource;
}

} // namespace

struct ResourceStore::State
{
    State(WorkerPool &workers, KeyValueClient &keyValues)
        : pool(workers)
        , client(keyValues)
        , random(RandomSource::fromEntropy())
    {
    }

    std::string changeId()
    {
        const std::lock_guard lock(mutex);
        return random.generateHexId();
    }

    WorkerPool &pool;
    KeyValueClient &client;
    std::mutex mutex;
    RandomSource random;
};

namespace {

// One change, retried until its outcome is known or the attempts are used up.
class Change : public std::enable_shared_from_this<Change>
{
public:
    Change(WorkerPool &pool, KeyValueClient &client, StoredResource resource,
           StoreRevision expected)
        : m_client(client)
        , m_timer(pool)
        , m_resource(std::move(resource))
        , m_key(ResourceStore::keyOf(m_resource.kind, m_resource.name))
        , m_expected(expected)
    {
    }

    void put(const ResourceStore::ResourceHook &hook)
    {
        m_client.compareAndSwap(
            m_key, m_resource.toJson(), m_expected,
            [self = shared_from_this(), hook](const Result<WriteResult> &result) {
                if (!result)
                    return self->retry(result.error(), hook, [self, hook] { self->put(hook); });
                self->onPutReply(result.value(), hook);
            });
    }

    void remove(const ResourceStore::RevisionHook &hook)
    {
        m_client.compareAndDelete(
            m_key, m_expected,
            [self = shared_from_this(), hook](const Result<WriteResult> &result) {
                if (!result)
                    return self->retry(result.error(), hook, [self, hook] { self->remove(hook); });
                self->onRemoveReply(result.value(), hook);
            });
    }

private:
    std::string label() const { return m_resource.kind + '/' + m_resource.name; }

    template <typename Hook>
    void retry(const Error &error, const Hook &hook, std::function<void()> attempt)
    {
        m_mayBeApplied = m_mayBeApplied || mayHaveBeenApplied(error.code);
        if (++m_attempts >= maxAttempts || error.code == ErrorCode::InvalidArgument)
            return hook(finalError(error));
        m_timer.once(retryDelay, std::move(attempt));
    }

    Error finalError(const Error &error) const
    {
        if (m_mayBeApplied)
            return {ErrorCode::Timeout,
                    label() + ": unknown whether the change was applied: " + error.message};
        return error;
    }

    void onPutReply(const WriteResult &result, const ResourceStore::ResourceHook &hook)
    {
        if (result.applied) {
            m_resource.revision = result.revision;
            m_resource.epoch = result.epoch;
            return hook(m_resource);
        }
        const StoredResource current = decodeResource(result.current, result.epoch);
        // An earlier attempt was applied, and only its reply was lost.
        if (current.changeId == m_resource.changeId)
            return hook(current);
        hook(conflictError(current));
    }

    void onRemoveReply(const WriteResult &result, const ResourceStore::RevisionHook &hook)
    {
        const bool isAlreadyDeleted = m_mayBeApplied && result.current.modRevision == 0;
        if (result.applied || isAlreadyDeleted)
            return hook(result.revision);
        hook(conflictError(decodeResource(result.current, result.epoch)));
    }

    Error conflictError(const StoredResource &current) const
    {
        Error error = conflict(current, label(), m_expected);
        if (m_mayBeApplied)
            error.message += "; this change may have been applied before that one";
        return error;
    }

    KeyValueClient &m_client;
    Timer m_timer;
    StoredResource m_resource;
    std::string m_key;
    StoreRevision m_expected;
    int m_attempts = 0;
    bool m_mayBeApplied = false;
};

} // namespace

ResourceStore::ResourceStore(WorkerPool &pool, KeyValueClient &client)
    : m_state(std::make_shared<State>(pool, client))
{
}

ResourceStore::~ResourceStore() = default;

std::string ResourceStore::keyOf(const std::string &kind, const std::string &name)
{
    return std::string(prefix) + kind + '/' + name;
}

void ResourceStore::list(ListHook hook)
{
    m_state->client.range(std::string(prefix),
                          [hook = std::move(hook)](const Result<RangeResult> &result) {
                              if (!result)
                                  return hook(result.error());
                              const std::int64_t epoch = result.value().epoch;
                              ResourceList list {result.value().revision, {}, epoch};
                              for (const auto &pair : result.value().pairs)
                                  list.resources.push_back(decodeResource(pair, epoch));
                              hook(std::move(list));
                          });
}

void ResourceStore::get(const std::string &kind, const std::string &name, ResourceHook hook)
{
    m_state->client.get(
        keyOf(kind, name), [kind, name, hook = std::move(hook)](const Result<RangeResult> &result) {
            if (!result)
                return hook(result.error());
            if (result.value().pairs.empty())
                return hook(Error {ErrorCode::NotFound, kind + '/' + name + " does not exist"});
            hook(decodeResource(result.value().pairs.front(), result.value().epoch));
        });
}

void ResourceStore::put(StoredResource resource, StoreRevision expected, const ResourceHook &hook)
{
    resource.changeId = m_state->changeId();
    std::make_shared<Change>(m_state->pool, m_state->client, std::move(resource), expected)
        ->put(hook);
}

void ResourceStore::remove(const std::string &kind, const std::string &name, StoreRevision expected,
                           const RevisionHook &hook)
{
    StoredResource resource;
    resource.kind = kind;
    resource.name = name;
    std::make_shared<Change>(m_state->pool, m_state->client, std::move(resource), expected)
        ->remove(hook);
}

} // namespace foxtailring
