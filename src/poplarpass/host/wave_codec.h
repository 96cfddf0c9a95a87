#pragma once

#include <poplarpass/capacity/host_table.h>
#include <poplarpass/core/error.h>

#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief How waves are read and reported.
struct wave_codec
{
    std::string keyPrefix; ///< Keys of waves among the operator's and the status records begin with this.
    std::function<core::result<capacity::wave_request>(std::string_view)> decode; ///< Reads a wave.
    std::function<std::string(bool)> encodeStatus; ///< Report of a wave: whether it is completed.
};
} // namespace poplarpass::host
