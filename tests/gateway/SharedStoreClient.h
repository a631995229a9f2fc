#pragma once

#include "foxtailring/store/KeyValueClient.h"
#include "SharedStore.h"

namespace foxtailring {

/// \brief Connects one gateway to a SharedStore.
class SharedStoreClient : public KeyValueClient
{
public:
    explicit SharedStoreClient(SharedStore &store)
        : m_store(store)
    {
    }

    void get(const std::string &key, RangeHook hook) override { hook(m_store.read(key)); }
    void range(const std::string &prefix, RangeHook hook) override { hook(m_store.read(prefix)); }
    void compareAndSwap(const std::string &key, const std::string &value, StoreRevision expected,
                        WriteHook hook, StoreLease) override
    {
        hook(m_store.write(key, value, expected.number));
    }
    void compareAndDelete(const std::string &, StoreRevision, WriteHook) override { }
    void grantLease(std::chrono::seconds, LeaseHook hook) override { hook(m_store.grantLease()); }
    void keepAlive(StoreLease, RenewalHook hook) override { hook(std::chrono::seconds(10)); }
    std::shared_ptr<Http1Stream> watch(const std::string &, StoreRevision,
                                       WatchHooks hooks) override
    {
        m_store.watch(hooks);
        return nullptr;
    }

private:
    SharedStore &m_store;
};

} // namespace foxtailring
