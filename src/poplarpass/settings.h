#pragma once

/// \file
/// \brief Settings of one process: typed values, the key table and the TOML reader.

#include <poplarpass/settings/key_table.h>
#include <poplarpass/settings/process_settings.h>
#include <poplarpass/settings/reader.h>
