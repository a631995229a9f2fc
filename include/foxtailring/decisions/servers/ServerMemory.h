#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Keeps the bodies of the requests at a server below what its memory takes, as far as
/// crashes and refusals have shown that.
///
/// A server whose memory is exceeded crashes with all its requests, and tells its size nowhere. So
/// a crash or a refusal of a large request while many bytes of this process were at a server limits
/// what the process sends to each server of its service. Not thread-safe; used on one queue.
class ServerMemory
{
public:
    /// \brief The limit of a service has changed, in bytes; none: there is none any more.
    using LimitHook =
        std::function<void(std::string_view service, std::optional<std::size_t> limit)>;

    /// A crash with fewer bytes at the server proves nothing about its memory.
    static constexpr std::size_t minEvidenceBytes = std::size_t {256} * 1024;
    /// Smaller requests are not limited.
    static constexpr std::size_t maxSmallRequestBytes = std::size_t {8} * 1024;

    explicit ServerMemory(LimitHook onLimit = {});

    /// \brief A request with a body of \a bytes is sent to the server.
    void startRequest(std::string_view service, std::string_view serverId, std::size_t bytes);
    /// \brief It is over, or its outcome is recorded.
    void endRequest(std::string_view serverId, std::size_t bytes);

    /// \brief The server answered a request that it ran: it can hold what it holds now.
    void recordAnswer(std::string_view serverId, TimePoint now);
    /// \brief The connection to the server was lost before an answer.
    void recordCrash(std::string_view serverId, TimePoint now);
    /// \brief The server refused a request of \a bytes without running it.
    void recordRefusal(std::string_view serverId, std::size_t bytes, TimePoint now);

    /// \brief True if the server may get a request with a body of \a bytes.
    bool hasRoom(std::string_view service, std::string_view serverId, std::size_t bytes,
                 TimePoint now) const;
    /// \brief Bytes that one server of the service may hold of this process; none: not limited.
    std::optional<std::size_t> limit(std::string_view service, TimePoint now) const;
    /// \brief Bytes that this process has under way at the server.
    std::size_t held(std::string_view serverId) const;

private:
    struct Server
    {
        std::string service;
        std::size_t bytes = 0;
        std::size_t requests = 0;
        bool isLost = false; ///< its crash is recorded
    };
    struct Service
    {
        std::size_t survivedBytes = 0; ///< that a server held and went on
        std::optional<std::size_t> limit;
        TimePoint limitedAt;
    };

    void recordOverload(const Server &server, TimePoint now);
    void setLimit(std::string_view service, std::optional<std::size_t> limit, TimePoint now);

    const LimitHook m_onLimit;
    std::map<std::string, Server, std::less<>> m_servers; ///< with requests of this process
    std::map<std::string, Service, std::less<>> m_services;
};

} // namespace foxtailring
