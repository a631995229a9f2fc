#pragma once

#include <cstddef>
#include <string>

namespace foxtailring::bench {

/// \brief A configuration in the operator's form, with a service for every 20 routes.
std::string configDocumentText(std::size_t routes);
/// \brief The store's answer to a poll that finds one new value of the configuration's key.
std::string changesAnswerText(const std::string &document);

} // namespace foxtailring::bench
