#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::core
{
/// \brief Invariants that must hold at all times, from the requirements.
enum class invariant_kind {
    availability_budget, ///< The availability budget of every pool holds.
    one_pool_per_host, ///< A host belongs to exactly one pool.
    own_whole_answer, ///< A caller receives the whole answer to its own request.
    not_run_is_true, ///< "Not run" is reported only for a request that did not run.
    at_most_once, ///< A non-idempotent request runs at most once.
    no_work_when_leaving, ///< A leaving endpoint receives no new work.
    graceful_stop, ///< A planned stop interrupts no request in progress.
    configuration_never_reverts, ///< An accepted configuration is never replaced by an older one.
};

/// \brief Returns the wire name of \p kind.
auto nameOf(invariant_kind kind) -> std::string_view;

/// \brief Handler called with the kind and the evidence of each breach.
using breach_handler = std::function<void(invariant_kind, std::string_view)>;

/// \brief Sets the handler for breaches; the default prints the evidence to stderr and aborts.
/// \returns the previous handler
auto setBreachHandler(breach_handler handler) -> breach_handler;

/// \brief Returns the number of breaches detected by this process.
auto breachCount() -> std::uint64_t;

/// \brief Reports a breach of \p kind to the handler unless \p holds; evaluates \p evidence only on a breach.
auto requireInvariant(bool holds, invariant_kind kind, const std::function<std::string()> &evidence) -> void;
} // namespace poplarpass::core
