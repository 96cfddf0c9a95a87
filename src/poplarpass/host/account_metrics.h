#pragma once

#include <poplarpass/host/account_report.h>

#include <string>

namespace poplarpass::host
{
/// \brief Renders the metrics of accounts in Prometheus text format.
///
/// The ten accounts with the largest use appear by name, the rest are summed as "other".
auto renderAccountMetrics(account_report report) -> std::string;
} // namespace poplarpass::host
