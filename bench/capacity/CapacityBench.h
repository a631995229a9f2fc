#pragma once

#include "Slope.h"

#include <vector>

namespace foxtailring::bench {

/// \brief ServerTable and Router by number of servers of one service.
std::vector<Slope> measureServers();
/// \brief SubsetSelector by number of servers of one service and region.
std::vector<Slope> measureSubsets();
/// \brief AdmissionController by number of client accounts.
std::vector<Slope> measureAccounts();
/// \brief RequestQuarantine by number of suspects in a full table.
std::vector<Slope> measureQuarantine();

} // namespace foxtailring::bench
