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
    bool isLast = false;
    {
        const std::lock_guard lock(collection.mutex);
        const bool isValid = response && response.value().status == 200
            && collection.report.addJson(response.value().body);
        if (!isValid)
            collection.report.addUnreachable("entry at " + peer, "entry");
        isLast = --collection.pending == 0;
    }
    if (isLast)
        collection.hook(collection.report);
}

} // namespace

PeerQuery::PeerQuery(Http1Client &http)
    : m_http(http)
{
}

void PeerQuery::collect(NodeReport localReport, const std::vector<std::string> &peerAdminAddresses,
                        Hook hook)
{
    if (peerAdminAddresses.empty())
        return hook(localReport);
    auto collection = std::make_shared<PendingCollection>();
    collection->report = std::move(localReport);
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
