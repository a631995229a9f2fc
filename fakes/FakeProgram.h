#pragma once

#include "FakeHttpServer.h"

namespace foxtailring::fakes {

/// \brief Parses the command line and blocks SIGTERM and SIGINT. To be called before any thread
/// is started.
void initFakeProgram(int &argc, char **&argv, const char *usage);

/// \brief Serves \a handler on `--listen`, prints `listening PORT` and returns after SIGTERM or
/// SIGINT by ending the process with status 0; returns 1 when the address cannot be bound.
int runFakeProgram(const FakeHandler &handler);

} // namespace foxtailring::fakes
