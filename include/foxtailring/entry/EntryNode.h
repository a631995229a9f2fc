#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/entry/EntryPorts.h"
#include "foxtailring/entry/EntrySettings.h"
#include "foxtailring/entry/MemberList.h"
#include "foxtailring/entry/NodeRevision.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailring {

class ConfigState;
class MetricRegistry;
class Http1Responder;
class WorkerPool;
struct ConfigUpdate;
struct HttpRequest;

/// \brief One entry process.
class EntryNode
{
public:
    using OperatorHandler = std::function<void(HttpRequest, std::shared_ptr<Http1Responder>)>;

    explicit EntryNode(EntrySettings settings);
    /// \brief Cuts everything that is in progress. Must not run on a thread of the pool.
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// \brief Takes paths under `/operator/` on the admin port.
    void setOperatorHandler(OperatorHandler handler);

    /// \brief Listens. Unavailable when an address is taken.
    Result<EntryPorts> listen();
    /// \brief Starts to follow the platform's VM list and configuration.
    void followPlatform();

    /// \brief Shuts down gracefully; \a done runs once when nothing is in progress any more.
    ///
    /// Not ready at once, refuses new requests after drainDelay, and hands streams that run on
    /// after drainLimit over to another entry.
    void drain(std::function<void()> done);

    /// \brief Puts an update in force and passes it on to the sidecars.
    Result<Done> applyConfig(const ConfigUpdate &update);
    void applyMembers(const MemberList &list);

    WorkerPool &pool();
    ConfigState &config();
    MetricRegistry &metrics();
    /// \brief This entry and the sidecars that it follows, with their acknowledged revisions.
    std::vector<NodeRevision> nodes() const;
    std::vector<MemberList::Entry> otherEntries() const;
    /// \brief JSON object with servers, their loads and the work in flight.
    std::string statusJson() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
