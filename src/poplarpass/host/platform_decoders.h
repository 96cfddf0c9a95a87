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
/// \brief Format of the operator's records.
struct operator_decoder
{
    std::string configKey; ///< Key of the configuration.
    std::function<core::result<route::route_config>(std::string_view)> decodeConfig; ///< Decodes a configuration.
};

/// \brief Decodes the key and the value of a record that a worker publishes about itself.
using worker_decoder = std::function<core::result<jobs::worker_entry>(std::string_view, std::string_view)>;

/// \brief The platform's data formats, implemented by its adapter.
struct platform_decoders
{
    operator_decoder operators; ///< The operator's records.
    wave_codec waves; ///< Waves and their status.
    job_decoder decodeJob; ///< Bodies of submissions.
    worker_decoder decodeWorker; ///< Records of workers.
};
} // namespace poplarpass::host
