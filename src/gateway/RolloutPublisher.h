#pragma once

#include "foxtailring/gateway/RolloutSchema.h"
#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/Timer.h"

#include <string>

namespace foxtailring {

class Rollout;
struct GatewayParts;
struct RolloutStatus;

/// \brief Takes the steps of roll-outs regularly and writes their statuses to the store, each on
/// the revision that this gateway knows, so that no decision is overwritten unseen. Without
/// settings for roll-outs it does nothing.
class RolloutPublisher
{
public:
    /// \param parts and \a client must live as long as the publisher
    RolloutPublisher(GatewayParts &parts, KeyValueClient &client, const RolloutSchema &schema);

    void start();
    void stop();

private:
    void step();
    void updatePace(bool isServing);
    void writeStatus(const std::string &service, Rollout &rollout, const RolloutStatus &status);
    void onWritten(const std::string &service, Rollout &rollout, const RolloutStatus &status,
                   const WriteResult &result);
    void updateMetrics(const std::string &service, const Rollout &rollout);

    GatewayParts &m_parts;
    KeyValueClient &m_client;
    const RolloutSchema m_schema;
    Timer m_timer;
};

} // namespace foxtailring
