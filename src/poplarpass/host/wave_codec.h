#pragma once

#include <poplarpass/capacity/host_table.h>
#include <poplarpass/core/error.h>

#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief Format of waves and of their status.
struct wave_codec
{
    std::string keyPrefix; ///< Key prefix of waves, in the operator's and in the status records.
    std::function<core::result<capacity::wave_request>(std::string_view)> decode; ///< Decodes a wave.
    std::function<std::string(bool)>
        encodeStatus; ///< Encodes the status; the argument is whether the wave is completed.
};
} // namespace poplarpass::host
