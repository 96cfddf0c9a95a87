#pragma once

/// \file
/// Umbrella header of the module store.

#include <poplarpass/store/record_store.h>
