#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/platform/host_list.h>
#include <poplarpass/platform/worker_service.h>

#include <cstdint>
#include <optional>
#include <span>

namespace poplarpass::control
{
/// \brief One contact, or failed contact, of a member with a worker.
struct host_sighting
{
    core::host_id host; ///< Which host.
    bool reached = false; ///< Whether the worker answered; the fields below are set only then.
    std::uint64_t bootId = 0; ///< Its boot.
    bool draining = false; ///< Whether it takes no new work.
    core::pool_id pool; ///< Pool that it serves.
    std::uint64_t generation = 0; ///< Generation of that assignment.
    core::monotonic_time at; ///< When the contact was begun, on this process's clock.
};

/// \brief How an order_action ended.
struct order_outcome
{
    core::host_id host; ///< Which host.
    platform::order_request request; ///< The order as it was given.
    core::result<platform::order_answer> answer; ///< The worker's answer; a failure leaves open whether it took effect.
};

/// \brief What was seen since the previous decision step.
struct host_observations
{
    std::optional<std::span<const platform::listed_host>> listed; ///< The host list, when it was fetched.
    std::span<const host_sighting> sightings; ///< Contacts by this process and by others that told it.
    std::span<const order_outcome> outcomes; ///< Ended orders.
};
} // namespace poplarpass::control
