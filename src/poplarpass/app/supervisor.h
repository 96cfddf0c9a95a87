#pragma once

#include <poplarpass/core/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarpass::app
{
/// \brief Part of a process that a supervisor starts, restarts and stops.
struct child_spec
{
    std::string name; ///< Name in logs.
    std::function<void()> start; ///< Starts the child; throws on failure.
    std::function<void(std::function<void()> done)> stop; ///< Stops the child gracefully, then calls done once.
};

/// \brief Returns a child specification for \p part, which has start() and a synchronous stop().
/// \pre \p part outlives the supervisor
template <class part_type>
auto childOf(std::string name, part_type &part) -> child_spec
{
    return {std::move(name), [&part] { part.start(); },
            [&part](const std::function<void()> &done) {
                part.stop();
                done();
            }};
}

/// \brief Restart limits of a supervisor.
struct restart_policy
{
    int maxRestarts = 5; ///< Restarts of one child within the window.
    core::duration window = std::chrono::seconds{60}; ///< Sliding window in which failures are counted.
    core::duration delay = std::chrono::milliseconds{200}; ///< Delay before a restart.
};

/// \brief Dependencies of a supervisor.
struct supervisor_hooks
{
    std::function<core::monotonic_time()> now; ///< Current time.
    std::function<void(core::duration, std::function<void()>)> after; ///< Calls a function once after a delay.
    std::function<void(std::string_view event, std::string_view child, std::string_view detail)>
        report; ///< Logs an event.
    std::function<void()> escalate; ///< Called when a child exceeds the restart limit.
};

/// \brief Starts its children in order, restarts those that fail, and stops them in reverse order.
///
/// A supervisor can be a child of another one, which forms a supervision tree.
class supervisor
{
public:
    supervisor(std::vector<child_spec> children, restart_policy policy, supervisor_hooks hooks);

    /// \brief Starts every child in order; a child whose start throws is handled as failed.
    auto start() -> void;

    /// \brief Handles the failure of a child: restarts it, or escalates if it exceeds the restart limit.
    auto childFailed(std::string_view name, std::string_view reason) -> void;

    /// \brief Stops the children in reverse order, one after another, then calls \p done.
    auto stop(std::function<void()> done) -> void;

private:
    struct child
    {
        child_spec spec;
        bool running = false;
        std::vector<core::monotonic_time> failures;
    };

    auto startChild(child &target) -> void;
    auto handleFailure(child &target, std::string_view reason) -> void;
    auto stopFrom(std::size_t count, std::function<void()> done) -> void;
    [[nodiscard]] auto exceedsRestartLimit(child &target) -> bool;

    std::vector<child> m_children;
    restart_policy m_policy;
    supervisor_hooks m_hooks;
    bool m_stopping = false;
};
} // namespace poplarpass::app
