#pragma once

#include "foxtailring/store/KeyValueClient.h"

namespace foxtailring {

class Http1Client;
struct Endpoint;

/// \brief Client of the etcd v3 JSON gateway.
///
/// See https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/. The epoch of the store is its cluster
/// id, which a restore from a snapshot changes. An expected revision of epoch 0 is compared by its
/// number alone.
class EtcdClient : public KeyValueClient
{
public:
    /// \param http must outlive the client
    EtcdClient(Http1Client &http, const Endpoint &service,
               std::chrono::milliseconds timeout = std::chrono::seconds(2));
    ~EtcdClient() override;

    void get(const std::string &key, RangeHook hook) override;
    void range(const std::string &prefix, RangeHook hook) override;
    void compareAndSwap(const std::string &key, const std::string &value, StoreRevision expected,
                        WriteHook hook, StoreLease lease = {}) override;
    void compareAndDelete(const std::string &key, StoreRevision expected, WriteHook hook) override;
    void grantLease(std::chrono::seconds timeToLive, LeaseHook hook) override;
    void keepAlive(StoreLease lease, RenewalHook hook) override;
    std::shared_ptr<Http1Stream> watch(const std::string &prefix, StoreRevision from,
                                       WatchHooks hooks) override;

private:
    struct State;
    const std::shared_ptr<State> m_state;
};

} // namespace foxtailring
