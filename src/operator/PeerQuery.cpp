#include "PeerQuery.h"

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"

#include <chrono>
#include <memory>
#include <mutex>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds peerTimeout {1500};

struct PendingCollection
{
    std::mutex mutex;
    NodeReport report;
    std::size_t pending = 0;
    PeerQuery::Hook hook;
};

void addResponse(PendingCollection &collection, const std::string &peer,
                 const Result<HttpResponse> &response)
{
    bool last = false;
    {
        const std::lock_guard lock(collection.mutex);
        const bool ok = response && response.value().status == 200
            && collection.report.addJson(response.value().body);
        if (!ok)
            collection.report.addUnreachable("entry at " + peer, "entry");
        last = --collection.pending == 0;
    }
    if (last)
        collection.hook(collection.report);
}

} // namespace

PeerQuery::PeerQuery(Http1Client &http)
    : m_http(http)
{
}

void PeerQuery::collect(NodeReport own, const std::vector<std::string> &peerAdminAddresses,
                        Hook hook)
{
    if (peerAdminAddresses.empty())
        return hook(own);
    auto collection = std::make_shared<PendingCollection>();
    collection->report = std::move(own);
    collection->pending = peerAdminAddresses.size();
    collection->hook = std::move(hook);
    for (const auto &peer : peerAdminAddresses) {
        const auto endpoint = Endpoint::parse(peer);
        if (!endpoint) {
            addResponse(*collection, peer, endpoint.error());
            continue;
        }
        m_http.request(endpoint.value(),
                       HttpRequest {"GET", "/operator/v1/inforce?scope=local", {}, ""}, peerTimeout,
                       [collection, peer](const Result<HttpResponse> &response) {
                           addResponse(*collection, peer, response);
                       });
    }
}

} // namespace foxtailring
