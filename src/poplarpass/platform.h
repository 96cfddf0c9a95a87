#pragma once

/// \file
/// \brief Narrow interfaces to the platform; each can have another adapter without a change to a decision.

#include <poplarpass/platform/host_list.h>
#include <poplarpass/platform/log_service.h>
#include <poplarpass/platform/worker_service.h>
