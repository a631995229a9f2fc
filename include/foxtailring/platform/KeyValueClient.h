#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/platform/RangeResult.h"
#include "foxtailring/platform/SwapResult.h"
#include "foxtailring/platform/WatchHooks.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtailring {

class Http1Client;
class Http1Stream;
struct Endpoint;

/// \brief The platform's key-value service through the etcd v3 JSON gateway. Thread-safe.
///
/// Errors: Unavailable, nothing was sent; Timeout and Closed, a write may have taken effect;
/// Malformed, the reply cannot be read, and a write may have taken effect; Overloaded, the service
/// refused the call by its rate limit; NotFound and InvalidArgument, it refused the call.
/// Source: https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
class KeyValueClient
{
public:
    using RangeHook = std::function<void(Result<RangeResult>)>;
    using SwapHook = std::function<void(Result<SwapResult>)>;
    using NumberHook = std::function<void(Result<std::int64_t>)>;

    /// \param http must live as long as the client
    KeyValueClient(Http1Client &http, const Endpoint &service,
                   std::chrono::milliseconds timeout = std::chrono::seconds(2));
    ~KeyValueClient();

    void get(const std::string &key, RangeHook hook);
    void range(const std::string &prefix, RangeHook hook);
    /// \brief Stores \a value if the key's revision is \a expected (0: the key does not exist).
    /// \param lease the key is deleted when this lease ends; 0: none
    void swap(const std::string &key, const std::string &value, std::int64_t expected,
              SwapHook hook, std::int64_t lease = 0);
    /// \brief Deletes the key if its revision is \a expected.
    void remove(const std::string &key, std::int64_t expected, SwapHook hook);

    /// \brief Returns the id of a new lease.
    void grantLease(std::chrono::seconds timeToLive, NumberHook hook);
    /// \brief Returns the remaining seconds; NotFound when the lease has ended.
    void keepAlive(std::int64_t lease, NumberHook hook);

    /// \brief Follows all keys with \a prefix from \a revision on until it is cancelled or ends.
    ///
    /// A silent connection does not end it; renew it now and then. Cancel the stream once the ended
    /// hook has run, since a watch that cannot be read stays open.
    std::shared_ptr<Http1Stream> watch(const std::string &prefix, std::int64_t revision,
                                       WatchHooks hooks);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
