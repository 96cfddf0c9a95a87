#pragma once

#include "standin_options.h"

namespace standins
{
/// \brief Runs the stand-ins selected by \p options until SIGTERM or SIGINT; prints one line per listening address.
/// \returns exit status
/// \throws std::exception if a stand-in cannot start
auto run(const standin_options &options) -> int;
} // namespace standins
