#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/sessions/AttemptResult.h"

#include <cstddef>
#include <string>

namespace foxtailring {

struct ForwardContext;

/// \brief Counts one request, and its body, at the servers that work on it.
class RequestWork
{
public:
    /// \param context must outlive the object
    RequestWork(const ForwardContext &context, std::size_t bodyBytes);

    /// \brief The request is sent to the server.
    void start(const std::string &service, const std::string &serverId) const;
    /// \brief The server works on it no longer.
    void end(const std::string &serverId) const;
    /// \brief The server answered it, and thus can hold the bodies that it holds now. To be called
    /// before end().
    void recordAnswer(const std::string &serverId, TimePoint now) const;
    /// \brief The attempt ended without an answer. To be called before end().
    void recordFailure(const std::string &serverId, AttemptResult result, TimePoint now) const;

private:
    const ForwardContext &m_context;
    const std::size_t m_bodyBytes;
};

} // namespace foxtailring
