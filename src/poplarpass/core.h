#pragma once

/// \file
/// \brief Types shared by all modules: times, identifiers, errors, invariants and hashing.

#include <poplarpass/core/error.h>
#include <poplarpass/core/invariant.h>
#include <poplarpass/core/rendezvous.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>
#include <poplarpass/core/wall_clock_filter.h>
