#pragma once

/// \file
/// The process that runs on each host of the users' platform.

#include <poplarpass/host/host_process.h>
