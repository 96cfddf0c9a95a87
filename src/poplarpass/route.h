#pragma once

/// \file
/// \brief Routing of requests to queues.

#include <poplarpass/route/route_table.h>
