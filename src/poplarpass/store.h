#pragma once

/// \file
/// \brief Interface to the durable record store.

#include <poplarpass/store/append_latency.h>
#include <poplarpass/store/append_repeater.h>
#include <poplarpass/store/record_store.h>
