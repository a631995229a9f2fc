#pragma once

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/protocol/Accepted.h"
#include "foxtailring/protocol/Ack.h"
#include "foxtailring/protocol/Attach.h"
#include "foxtailring/protocol/Cancel.h"
#include "foxtailring/protocol/ConfigAck.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/Progress.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/protocol/StartAttempt.h"
#include "foxtailring/protocol/Tokens.h"
#include "foxtailring/sidecar/Sidecar.h"
#include "foxtailring/transport/Http2Client.h"
#include "foxtailring/transport/WorkerPool.h"
#include "TestEngine.h"
#include "TestEntry.h"

#include <cppunit/TestFixture.h>
#include <memory>
#include <optional>

/// \brief A sidecar between a TestEngine and clients of its inner port.
class SidecarFixture : public CppUnit::TestFixture
{
public:
    void setUp() override;
    void tearDown() override;

protected:
    static constexpr std::uint64_t incarnation = 77;

    /// \brief Starts the sidecar with \a settings, whose addresses are filled in.
    void startSidecar(foxtailring::SidecarSettings settings = {},
                      foxtailring::ClaimStore store = {});
    foxtailring::Http2Client &client() { return *m_client; }
    std::unique_ptr<foxtailring::Http2Client> newClient();
    static foxtailring::StartAttempt startMessage(std::uint32_t attempt = 1);
    /// \brief Concatenated texts of the next Tokens messages until \a next is reached.
    static std::string textUntil(TestEntry &entry, std::uint64_t from, std::uint64_t next);

    std::unique_ptr<foxtailring::WorkerPool> m_pool;
    std::unique_ptr<TestEngine> m_engine;
    std::unique_ptr<foxtailring::Sidecar> m_sidecar;
    std::unique_ptr<foxtailring::Http2Client> m_client;
    Waiting m_waiting; // guards all below
    bool m_drained = false;
    std::vector<foxtailring::Span> m_spans;
};
