#pragma once

#include "GatewayFixture.h"
#include "GatewayParts.h"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace foxtailring {

/// \brief A GatewayFixture with the parts of a second gateway, in the zone of server `a` and with
/// one worker, that no GatewayNode runs: the test uses them on their queue.
class GatewayPartsFixture : public GatewayFixture
{
public:
    void setUp() override
    {
        GatewayFixture::setUp();
        GatewaySettings settings;
        settings.nodeId = "g";
        settings.availabilityZone = "a";
        settings.regions = {{"a", "r"}};
        settings.threads = 1;
        m_parts.emplace(settings, codec());
    }

    void tearDown() override
    {
        m_parts->pool.stop();
        // Runs the remaining tasks: they refer to members that are destroyed before the pool.
        m_parts->pool.context().restart();
        m_parts->pool.context().poll();
        releaseUsers();
        m_parts.reset();
        GatewayFixture::tearDown();
    }

protected:
    /// \brief Destroys what refers to the parts. Called when no task is left.
    virtual void releaseUsers() { }

    std::optional<GatewayParts> m_parts;
};

} // namespace foxtailring
