#include "foxtailring/decisions/quarantine/SuspectStarts.h"

#include "foxtailring/protocol/RequestDigest.h"

namespace foxtailring {

const RecentStarts &SuspectStarts::tableOf(const std::string &suspect) const
{
    return RequestDigest::isDigest(suspect) ? m_requests : m_parts;
}

RecentStarts &SuspectStarts::tableOf(const std::string &suspect)
{
    return RequestDigest::isDigest(suspect) ? m_requests : m_parts;
}

} // namespace foxtailring
