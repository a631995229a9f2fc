#pragma once

#include "foxtailring/transport/HttpRequest.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>

namespace foxtailring {

struct BackendCodec;
class RouteTable;

/// \brief Time within which a request's body must be complete, from the arrival of its head on: the
/// lesser of its caller's patience and its route's timeout. Thread-safe.
class BodyTimeLimit
{
public:
    /// \param codec kept by reference
    explicit BodyTimeLimit(const BackendCodec &codec);

    void setRoutes(std::shared_ptr<const RouteTable> routes);
    /// \brief Returns nullopt if neither the head nor a configuration names a time.
    std::optional<std::chrono::milliseconds> limit(const HttpRequest &head) const;

private:
    const BackendCodec &m_codec;
    mutable std::mutex m_mutex;
    std::shared_ptr<const RouteTable> m_routes; ///< null until the first configuration was read
};

} // namespace foxtailring
