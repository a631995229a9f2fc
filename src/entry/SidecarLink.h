#pragma once

#include "foxtailring/transport/Http2Client.h"

#include "LinkStream.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

class WorkerPool;
struct Endpoint;

/// \brief The connection of this entry to one sidecar. Thread-safe.
class SidecarLink
{
public:
    SidecarLink(WorkerPool &pool, const Endpoint &endpoint);

    LinkStream open(std::string_view path);
    /// \brief Opens on a connection other than \a suspected.
    ///
    /// Many streams suspect their connection at once, but only the first one replaces it.
    LinkStream openAnew(std::string_view path, std::uint64_t suspected);

    /// \brief Number of the connection that open() uses.
    std::uint64_t connection() const;

private:
    Http2Client m_client;
    mutable std::mutex m_mutex;
    std::uint64_t m_connection = 1;
};

} // namespace foxtailring
