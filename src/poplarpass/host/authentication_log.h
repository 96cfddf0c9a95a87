#pragma once

#include <poplarpass/host/request_authenticator.h>
#include <poplarpass/observe/logger.h>
#include <poplarpass/observe/metrics.h>

#include <cstdint>
#include <string_view>

namespace poplarpass::host
{
/// \brief Description of a refused request in the log; never contains its key or digest.
struct refused_request
{
    std::string_view job; ///< Job that it concerns; may be empty.
    std::string_view verb; ///< Requested operation.
    std::uint64_t configVersion = 0; ///< Version by which it was refused.
    core::duration configAge{0}; ///< Age of that configuration.
    std::string_view account; ///< Account of its key; empty if unknown.
};

/// \brief Logs and counts a request that was refused because of \p error.
auto recordRefusal(observe::logger &log, observe::metrics_registry &metrics, authentication_error error,
                   const refused_request &refused) -> void;
} // namespace poplarpass::host
