#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::core
{
/// \brief The points that must hold at every moment, from the brief.
enum class invariant_kind {
    availability_budget, ///< Every pool's availability budget holds.
    one_pool_per_host, ///< A host belongs to exactly one pool.
    own_whole_answer, ///< A caller receives the whole answer to its own request.
    not_run_is_true, ///< "Not run" is said only of a request that did not run.
    at_most_once, ///< A non-idempotent request runs at most once.
    no_work_when_leaving, ///< A leaving endpoint receives no new work.
    graceful_stop, ///< A planned stop cuts off no request in progress.
    configuration_never_reverts, ///< An accepted configuration stays in force.
};

/// \brief Wire name of \p kind.
auto nameOf(invariant_kind kind) -> std::string_view;

/// \brief Called with each breach: its kind and the evidence.
using breach_handler = std::function<void(invariant_kind, std::string_view)>;

/// \brief Replaces what happens at a breach; the default prints the evidence and aborts.
/// \returns the handler that was set before
auto setBreachHandler(breach_handler handler) -> breach_handler;

/// \brief Number of breaches seen by this process.
auto breachCount() -> std::uint64_t;

/// \brief Reports a breach of \p kind with its \p evidence to the handler unless \p holds.
auto requireInvariant(bool holds, invariant_kind kind, const std::function<std::string()> &evidence) -> void;
} // namespace poplarpass::core
