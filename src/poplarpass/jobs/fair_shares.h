#pragma once

#include <poplarpass/jobs/job_spec.h>

#include <span>
#include <vector>

namespace poplarpass::jobs
{
/// \brief What one account uses and wants of a pool.
struct share_claim
{
    double weight = 1.0; ///< Weight of the account; greater than 0.
    resources use; ///< Resources of its runs in the pool.
    resources waiting; ///< Resources of its tasks that wait for the pool.
};

/// \brief Returns the larger of the fractions of the pool's processor time and memory that \p amount is.
auto dominantFraction(const resources &amount, const resources &capacity) -> double;

/// \brief Returns each claim's weighted max-min fair share of a pool, as its dominant fraction of \p capacity.
///
/// A share never exceeds use and waiting demand together; what an account does not want goes to the others. Depends on
/// nothing but the arguments: an account that was idle has neither lost nor saved anything.
auto fairShares(const resources &capacity, std::span<const share_claim> claims) -> std::vector<double>;
} // namespace poplarpass::jobs
