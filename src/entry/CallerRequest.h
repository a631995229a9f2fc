#pragma once

#include "foxtailring/base/TraceContext.h"
#include "foxtailring/decisions/configuration/ClientAccountResource.h"
#include "foxtailring/decisions/configuration/ConfigSnapshot.h"
#include "foxtailring/transport/HttpRequest.h"

#include <memory>

namespace foxtailring {

class Http1Responder;

/// \brief A request of a known client account.
struct CallerRequest
{
    HttpRequest http;
    std::shared_ptr<Http1Responder> responder;
    std::shared_ptr<const ConfigSnapshot> config; ///< in force when the request arrived
    ClientAccountResource account;
    TraceContext trace; ///< span of this entry
};

} // namespace foxtailring
