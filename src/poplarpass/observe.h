#pragma once

/// \file
/// \brief Observability of a process: event log, metrics and traces.

#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>
#include <poplarpass/observe/tracer.h>
