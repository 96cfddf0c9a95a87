#pragma once

#include <poplarpass/core/time_source.h>
#include <poplarpass/host/advice_calls.h>
#include <poplarpass/host/host_calls.h>
#include <poplarpass/host/worker_calls.h>
#include <poplarpass/observe/metrics.h>
#include <poplarpass/store/record_store.h>

namespace poplarpass::host
{
/// \brief Clock and registry for the duration of calls; both must outlive the calls.
struct call_metrics_context
{
    const core::time_source &time; ///< Clock.
    observe::metrics_registry &metrics; ///< Receives poplarpass_call_seconds by service, call and outcome.
};

/// \brief Wraps \p calls so that the time of each until its answer is recorded.
///
/// The time of a long poll (a read or a renewal) includes its wait.
auto withCallMetrics(store::record_store calls, call_metrics_context context) -> store::record_store;

/// \copydoc withCallMetrics(store::record_store, call_metrics_context)
auto withCallMetrics(worker_calls calls, call_metrics_context context) -> worker_calls;

/// \copydoc withCallMetrics(store::record_store, call_metrics_context)
auto withCallMetrics(host_calls calls, call_metrics_context context) -> host_calls;

/// \copydoc withCallMetrics(store::record_store, call_metrics_context)
auto withCallMetrics(advice_calls calls, call_metrics_context context) -> advice_calls;
} // namespace poplarpass::host
