#pragma once

/// \file
/// \brief Interfaces to the platform; an adapter can be replaced without changes to the decision code.

#include <poplarpass/platform/host_list.h>
#include <poplarpass/platform/log_service.h>
#include <poplarpass/platform/worker_service.h>
