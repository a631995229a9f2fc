#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/store/RangeResult.h"
#include "foxtailring/store/WatchHooks.h"
#include "foxtailring/store/WriteResult.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtailring {

class Http1Stream;

/// \brief The platform's key-value service, whatever form it speaks. Thread-safe.
///
/// Errors: Unavailable, nothing was sent; Timeout and Closed, a write may have taken effect;
/// Malformed, the reply cannot be read, and a write may have taken effect; Overloaded, the service
/// refused the call by its rate limit; NotFound and InvalidArgument, it refused the call.
class KeyValueClient
{
public:
    using RangeHook = std::function<void(Result<RangeResult>)>;
    using WriteHook = std::function<void(Result<WriteResult>)>;
    using LeaseHook = std::function<void(Result<std::int64_t>)>;

    virtual ~KeyValueClient() = default;

    virtual void get(const std::string &key, RangeHook hook) = 0;
    virtual void range(const std::string &prefix, RangeHook hook) = 0;
    /// \brief Stores \a value if the key's revision is \a expectedRevision (0: the key does not
    /// exist). \param lease the key is deleted when this lease ends; 0: none
    virtual void compareAndSwap(const std::string &key, const std::string &value,
                                std::int64_t expectedRevision, WriteHook hook,
                                std::int64_t lease = 0) = 0;
    /// \brief Deletes the key if its revision is \a expectedRevision.
    virtual void compareAndDelete(const std::string &key, std::int64_t expectedRevision,
                                  WriteHook hook) = 0;

    /// \brief Returns the id of a new lease.
    virtual void grantLease(std::chrono::seconds timeToLive, LeaseHook hook) = 0;
    /// \brief Returns the remaining seconds; NotFound when the lease has ended.
    virtual void keepAlive(std::int64_t lease, LeaseHook hook) = 0;

    /// \brief Follows all keys with \a prefix from \a revision on until it is cancelled or ends.
    ///
    /// A silent connection does not end it; renew it now and then. Cancel the stream once the ended
    /// hook has run, since a watch that cannot be read stays open.
    virtual std::shared_ptr<Http1Stream> watch(const std::string &prefix, std::int64_t revision,
                                               WatchHooks hooks) = 0;
};

} // namespace foxtailring
