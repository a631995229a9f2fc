#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/sidecar/BucketSwap.h"
#include "foxtailring/sidecar/BucketValue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtailring {

class Http1Client;
struct Endpoint;

/// \brief Access to the bucket documents in the platform's key-value service.
///
/// Each hook calls its last argument exactly once. A swap that fails with Unavailable or
/// InvalidArgument had no effect; with any other error it may have taken effect.
struct ClaimStore
{
    using ReadHook = std::function<void(const Result<BucketValue> &)>;
    using SwapHook = std::function<void(const Result<BucketSwap> &)>;

    std::function<void(const std::string &path, ReadHook)> readBucket;
    std::function<void(const std::string &path, const std::string &value,
                       StoreRevision expectedRevision, SwapHook)>
        swapBucket;

    /// \brief Whether a platform is configured.
    bool isSet() const { return readBucket && swapBucket; }

    /// \brief A store over the etcd v3 JSON gateway at \a platform.
    static ClaimStore overKeyValueService(std::shared_ptr<Http1Client> http,
                                          const Endpoint &platform);
};

} // namespace foxtailring
