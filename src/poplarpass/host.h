#pragma once

/// \file
/// The process of a host on the users' platform.

#include <poplarpass/host/host_process.h>
