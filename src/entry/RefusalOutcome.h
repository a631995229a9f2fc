#pragma once

#include <string_view>

namespace foxtailring {

struct HttpRequest;

/// \brief Outcome to state when an entry refuses a request that it has sent to nobody.
///
/// Not run, but for a plain call with an idempotency key: an earlier attempt of the key, perhaps
/// through another entry, may have run, and only the claim of the key can tell.
std::string_view refusalOutcome(const HttpRequest &request);

} // namespace foxtailring
