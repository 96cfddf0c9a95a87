#pragma once

#include "standin_options.h"

namespace standins
{
/// \brief Runs what \p options name until SIGTERM or SIGINT; prints a line for each address that is listened on.
/// \returns exit status
/// \throws std::exception when it cannot start
auto run(const standin_options &options) -> int;
} // namespace standins
