#pragma once

/// \file
/// \brief Interface to the durable record store.

#include <poplarpass/store/record_store.h>
