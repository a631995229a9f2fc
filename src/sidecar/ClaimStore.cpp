#include "foxtailring/sidecar/ClaimStore.h"

#include "foxtailring/store/EtcdClient.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"

namespace foxtailring {

namespace {

// The client refers to the HTTP client, so both live as long as the hooks.
struct Platform
{
    Platform(std::shared_ptr<Http1Client> client, const Endpoint &endpoint)
        : http(std::move(client))
        , keyValues(*http, endpoint)
    {
    }

    const std::shared_ptr<Http1Client> http;
    EtcdClient keyValues;
};

BucketValue valueOf(const RangeResult &range)
{
    if (range.pairs.empty())
        return {{}, {range.epoch, 0}};
    return {range.pairs.front().value, {range.epoch, range.pairs.front().modRevision}};
}

void read(const std::shared_ptr<Platform> &platform, const std::string &path, bool mayRepeat,
          ClaimStore::ReadHook hook)
{
    platform->keyValues.get(
        path,
        [platform, path, mayRepeat, hook = std::move(hook)](const Result<RangeResult> &range) {
            if (range)
                return hook(valueOf(range.value()));
            // A kept-alive connection may be closed just when it is used again.
            if (range.error().code == ErrorCode::Closed && mayRepeat)
                return read(platform, path, false, hook);
            hook(range.error());
        });
}

BucketSwap swapOf(const WriteResult &result)
{
    if (result.applied)
        return {true, {{}, {result.epoch, result.revision}}};
    return {false, {result.current.value, {result.epoch, result.current.modRevision}}};
}

} // namespace

ClaimStore ClaimStore::overKeyValueService(std::shared_ptr<Http1Client> http,
                                           const Endpoint &endpoint)
{
    const auto platform = std::make_shared<Platform>(std::move(http), endpoint);
    ClaimStore store;
    store.readBucket = [platform](const std::string &path, ReadHook hook) {
        read(platform, path, true, std::move(hook));
    };
    store.swapBucket = [platform](const std::string &path, const std::string &value,
                                  StoreRevision expectedRevision, SwapHook hook) {
        platform->keyValues.compareAndSwap(
            path, value, expectedRevision,
            [hook = std::move(hook)](const Result<WriteResult> &result) {
                hook(result ? Result<BucketSwap>(swapOf(result.value())) : result.error());
            });
    };
    return store;
}

} // namespace foxtailring
