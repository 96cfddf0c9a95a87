#include <poplarpass/app/clock.h>
#include <poplarpass/app/process_tree.h>
#include <poplarpass/app/ticker.h>
#include <poplarpass/core/invariant.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace poplarpass::app
{
namespace
{
constexpr core::duration traceFlushPeriod = std::chrono::seconds{1};
} // namespace

auto supervisorHooks(process_runtime &process) -> supervisor_hooks
{
    supervisor_hooks hooks;
    hooks.now = monotonicNow;
    hooks.after = [&process](core::duration delay, std::function<void()> callback) {
        callAfter(process.loop, delay, std::move(callback));
    };
    hooks.report = [&process](std::string_view event, std::string_view child, std::string_view detail) {
        process.log.log(observe::log_level::info, event, {{"child", child}, {"detail", detail}});
    };
    hooks.escalate = [&process] {
        process.log.log(observe::log_level::error, "supervisor_gave_up");
        process.loop.stop();
    };
    return hooks;
}

auto runUntilSignal(process_runtime &process, supervisor &root, const std::function<void()> &stop) -> void
{
    boost::asio::signal_set signals{process.loop, SIGTERM, SIGINT};
    signals.async_wait([&stop](const boost::system::error_code &problem, int) {
        if (!problem) {
            stop();
        }
    });
    const ticker flush{process.loop, traceFlushPeriod, [&process] {
                           process.traces.flush();
                       }};
    root.start();
    process.loop.run();
    process.log.log(observe::log_level::info, "stopped");
}

auto updateReplicationGauges(process_runtime &process, const replication::fleet_state &state) -> void
{
    auto &metrics = process.metrics;
    metrics.gaugeOf("poplarpass_fold_offset", "Offset of the last record applied")
        .set(static_cast<double>(state.offset()));
    metrics.gaugeOf("poplarpass_config_revision", "Revision in force").set(static_cast<double>(state.revision()));
    metrics.gaugeOf("poplarpass_members", "Processes in the member list")
        .set(static_cast<double>(state.members().size()));
    metrics.gaugeOf("poplarpass_invariant_breaches", "Breaches of what must always hold")
        .set(static_cast<double>(core::breachCount()));
}
} // namespace poplarpass::app
