#pragma once

/// \file
/// \brief What a process shows of itself: event log, metrics and traces.

#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>
#include <poplarpass/observe/tracer.h>
