#pragma once

#include "foxtailring/transport/HttpResponse.h"

#include <cstddef>
#include <string_view>

namespace foxtailring {

/// \brief Memory that one request holds, from its first byte on. Given back on destruction.
///
/// Used by one thread at a time.
class RequestMemory
{
public:
    virtual ~RequestMemory() = default;
    /// \brief Changes the size to \a bytes. False if that exceeds what the request may hold; the
    /// size is unchanged then.
    virtual bool tryResize(std::size_t bytes) = 0;
    /// \brief The request has arrived whole.
    virtual void onArrived() = 0;
    /// \brief The request belongs to the client account. False: the account holds too much.
    virtual bool assignTo(std::string_view) { return true; }
    /// \brief The request is refused because of its size; returns the response.
    virtual HttpResponse refuse() = 0;
};

} // namespace foxtailring
