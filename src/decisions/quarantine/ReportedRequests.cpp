#include "ReportedRequests.h"

#include "foxtailring/protocol/RequestDigest.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace foxtailring {

namespace {

// Each request may have had all parts.
std::vector<RequestSuspects> possibleRequests(const std::vector<std::string> &suspects)
{
    RequestSuspects parts;
    std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(parts),
                 [](const std::string &suspect) { return !RequestDigest::isDigest(suspect); });
    std::vector<RequestSuspects> requests;
    for (const std::string &suspect : suspects) {
        if (!RequestDigest::isDigest(suspect))
            continue;
        requests.push_back(parts);
        requests.back().push_back(suspect);
    }
    if (requests.empty() && !parts.empty())
        requests.push_back(std::move(parts));
    return requests;
}

} // namespace

std::vector<RequestSuspects> reportedRequests(const CrashReport::Crash &crash)
{
    if (crash.requests.empty())
        return possibleRequests(crash.suspects);
    std::vector<RequestSuspects> requests;
    for (const CrashReport::Indexes &indexes : crash.requests) {
        RequestSuspects request;
        for (const std::size_t index : indexes) {
            if (index < crash.suspects.size())
                request.push_back(crash.suspects[index]);
        }
        if (!request.empty())
            requests.push_back(std::move(request));
    }
    return requests;
}

} // namespace foxtailring
