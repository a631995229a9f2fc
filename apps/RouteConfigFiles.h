#pragma once

#include <cstddef>
#include <string>

namespace foxtailring {

/// \brief Reads what the command check-routes of foxtailringctl compares, and runs it.
class RouteConfigFiles
{
public:
    struct Options
    {
        std::string filePath;     ///< configuration to check
        std::string inForcePath;  ///< configuration in force; empty: from the store, if given
        std::string storeAddress; ///< IP:PORT of the store; empty: it is not asked
        std::size_t memoryMb = 0; ///< of the smallest gateway; 0: not known
        bool printsJson = false;
    };

    /// \brief Returns the exit code of RouteConfigCheck; 2 if something cannot be read.
    static int check(const Options &options);
};

} // namespace foxtailring
