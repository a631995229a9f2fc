#include "RolloutStore.h"

#include "foxtailring/gateway/RolloutWitnessCodec.h"
#include "foxtailring/gateway/StoreSchema.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/WorkerPool.h"

#include "KvClient.h"
#include "WireFormat.h"

#include <future>
#include <utility>

namespace foxtailring {

struct RolloutStore::Client
{
    explicit Client(const Endpoint &address)
        : store(pool, http, address, {})
    {
    }

    Result<RangeResult> get(const std::string &key)
    {
        std::promise<Result<RangeResult>> read;
        store.get(key, [&](auto result) { read.set_value(std::move(result)); });
        return read.get_future().get();
    }

    Result<RangeResult> range(std::string_view prefix)
    {
        std::promise<Result<RangeResult>> read;
        store.range(std::string(prefix), [&](auto result) { read.set_value(std::move(result)); });
        return read.get_future().get();
    }

    const RolloutSchema schema = platform::storeSchema().rollouts;
    WorkerPool pool {1};
    Http1Client http {pool};
    platform::KvClient store;
};

RolloutStore::RolloutStore(const Endpoint &address, std::string service)
    : m_service(std::move(service))
    , m_client(std::make_unique<Client>(address))
{
}

RolloutStore::~RolloutStore() = default;

Result<RolloutReport::Input> RolloutStore::read()
{
    const RolloutSchema &schema = m_client->schema;
    const auto orders = m_client->get(schema.orderKeyPrefix + m_service);
    if (!orders)
        return orders.error();
    const auto statuses = m_client->get(schema.statusKeyPrefix + m_service);
    if (!statuses)
        return statuses.error();
    const auto witnesses = m_client->range(RolloutWitnessCodec::keyPrefix);
    if (!witnesses)
        return witnesses.error();
    RolloutReport::Input input;
    input.service = m_service;
    if (!orders.value().pairs.empty()) {
        const KeyValue &pair = orders.value().pairs.front();
        auto order = schema.decodeOrder(m_service, pair.value);
        if (!order)
            return order.error();
        input.order = std::move(order).value();
        input.orderRevision = {orders.value().epoch, pair.modRevision};
    }
    if (!statuses.value().pairs.empty()) {
        auto status = schema.decodeStatus(statuses.value().pairs.front().value);
        if (!status)
            return status.error();
        input.status = std::move(status).value();
    }
    for (const KeyValue &pair : witnesses.value().pairs) {
        const auto told = RolloutWitnessCodec::decode(pair.value);
        if (!told)
            continue; // it costs only itself
        const auto found = told.value().find(m_service);
        if (found != told.value().end())
            input.witnesses.push_back(found->second);
    }
    return input;
}

} // namespace foxtailring
