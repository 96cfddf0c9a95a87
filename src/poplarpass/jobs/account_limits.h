#pragma once

#include <poplarpass/core/string_id.h>
#include <poplarpass/jobs/job_spec.h>

namespace poplarpass::jobs
{
/// \brief Name of a client account.
using account_id = core::string_id<struct account_tag>;

/// \brief What a client account may use.
struct account_limits
{
    account_id name;
    double weight = 1.0; ///< Relative share of a pool that is full; greater than 0.
    resources cap; ///< Maximum resources of its runs over all workers; 0 for no limit.

    auto operator==(const account_limits &) const -> bool = default;
};
} // namespace poplarpass::jobs
