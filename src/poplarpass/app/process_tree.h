#pragma once

#include <poplarpass/app/process_runtime.h>
#include <poplarpass/app/supervisor.h>
#include <poplarpass/replication/fleet_state.h>

#include <functional>

namespace poplarpass::app
{
/// \brief Returns the hooks with which a supervisor logs, schedules restarts and, if a child fails too often, stops \p
/// process.
auto supervisorHooks(process_runtime &process) -> supervisor_hooks;

/// \brief Starts \p root and runs the event loop of \p process until it is stopped.
/// \param stop begins the graceful stop; called on the first SIGTERM or SIGINT
auto runUntilSignal(process_runtime &process, supervisor &root, const std::function<void()> &stop) -> void;

/// \brief Updates the gauges of the replicated state, which every process exports.
auto updateReplicationGauges(process_runtime &process, const replication::fleet_state &state) -> void;
} // namespace poplarpass::app
