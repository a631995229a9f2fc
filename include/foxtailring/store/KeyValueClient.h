#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/store/RangeResult.h"
#include "foxtailring/store/StoreLease.h"
#include "foxtailring/store/WatchHooks.h"
#include "foxtailring/store/WriteResult.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace foxtailring {

class Http1Stream;

/// \brief Interface to the platform's key-value service, whatever protocol it uses. Thread-safe.
///
/// Each callback gets the result or one of these errors:
/// - Unavailable: nothing was sent.
/// - Timeout, Closed: no reply; a write may have been applied.
/// - Malformed: the reply cannot be decoded; a write may have been applied.
/// - Overloaded: rejected by the service's rate limit.
/// - NotFound, InvalidArgument: rejected by the service.
/// - Stale: the call used a revision or a lease of another epoch of the service, or a read saw two
///   epochs; a write may have been applied.
class KeyValueClient
{
public:
    using RangeHook = std::function<void(Result<RangeResult>)>;
    using WriteHook = std::function<void(Result<WriteResult>)>;
    using LeaseHook = std::function<void(Result<StoreLease>)>;
    using RenewalHook = std::function<void(Result<std::chrono::seconds>)>;

    virtual ~KeyValueClient() = default;

    virtual void get(const std::string &key, RangeHook hook) = 0;
    virtual void range(const std::string &prefix, RangeHook hook) = 0;
    /// \brief Stores \a value if the key's revision is \a expected (number 0: it does not exist).
    ///
    /// A revision of another epoch fails the condition if the client learns of the epoch before it
    /// writes, and is Stale if the answer to the write shows it.
    /// \param lease the lease whose end deletes the key; by default none
    virtual void compareAndSwap(const std::string &key, const std::string &value,
                                StoreRevision expected, WriteHook hook, StoreLease lease = {}) = 0;
    /// \brief Deletes the key if its revision is \a expected, as compareAndSwap() does.
    virtual void compareAndDelete(const std::string &key, StoreRevision expected,
                                  WriteHook hook) = 0;

    /// \brief Creates a lease.
    virtual void grantLease(std::chrono::seconds timeToLive, LeaseHook hook) = 0;
    /// \brief Renews a lease and returns the time left; NotFound when it has ended.
    virtual void keepAlive(StoreLease lease, RenewalHook hook) = 0;

    /// \brief Reports changes of keys with \a prefix from \a from on until cancelled or ended.
    ///
    /// A dead connection without an error does not end the watch, so reopen one that has been idle
    /// for long. Cancel the stream after WatchHooks::onEnded, since the connection of a watch that
    /// cannot be decoded stays open.
    virtual std::shared_ptr<Http1Stream> watch(const std::string &prefix, StoreRevision from,
                                               WatchHooks hooks) = 0;
    /// \brief Watches collect changes for at most \a pause before they report further ones; none:
    /// as long as suits the service. A client may report them at once anyway.
    virtual void limitBatchPause(std::optional<std::chrono::milliseconds>) { }
};

} // namespace foxtailring
