#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/host/client_request.h>
#include <poplarpass/host/wave_codec.h>
#include <poplarpass/jobs/worker_report.h>
#include <poplarpass/route/route_table.h>

#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::host
{
/// \brief How the operator's records are told apart and read.
struct operator_decoder
{
    std::string configKey; ///< Key of the configuration.
    std::function<core::result<route::route_config>(std::string_view)> decodeConfig; ///< Reads a configuration.
};

/// \brief Reads what a worker says of itself: its key and its record.
using worker_decoder = std::function<core::result<jobs::worker_entry>(std::string_view, std::string_view)>;

/// \brief Formats of the platform, met by its adapter.
struct platform_decoders
{
    operator_decoder operators; ///< Reads the operator's records.
    wave_codec waves; ///< Reads and reports waves.
    job_decoder decodeJob; ///< Reads submissions.
    worker_decoder decodeWorker; ///< Reads what workers say of themselves.
};
} // namespace poplarpass::host
