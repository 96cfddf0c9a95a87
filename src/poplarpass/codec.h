#pragma once

/// \file
/// \brief Encodings of log records and of the replicated fleet state.

#include <poplarpass/codec/record_codec.h>
#include <poplarpass/codec/state_codec.h>
