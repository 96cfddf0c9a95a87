#include <poplarpass/jobs/fair_shares.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>

namespace poplarpass::jobs
{
namespace
{
constexpr std::size_t resourceCount = 2;
/// \brief Processor time and memory, as fractions of the pool or per unit of dominant fraction.
using fractions = std::array<double, resourceCount>;

/// \brief Remaining fraction of a resource below which it counts as used up; rounding errors are far smaller.
constexpr double negligible = 1e-9;

/// \brief Returns \p part of \p whole; a resource that the pool does not have at all is not shared.
auto fractionOf(std::int64_t part, std::int64_t whole) -> double
{
    return whole > 0 ? static_cast<double>(std::max<std::int64_t>(part, 0)) / static_cast<double>(whole) : 0.0;
}

auto fractionsOf(const resources &amount, const resources &capacity) -> fractions
{
    return {fractionOf(amount.cpu, capacity.cpu), fractionOf(amount.memoryMb, capacity.memoryMb)};
}

/// \brief A claim while the pool is shared out.
struct filling_claim
{
    std::size_t position = 0; ///< Position among the claims.
    double weight = 1.0;
    double wanted = 0; ///< Dominant fraction of use and waiting demand.
    double satisfiedAt = 0; ///< Level at which it has all that it wants.
    fractions perUnit{}; ///< Resources per unit of dominant fraction.
    bool frozen = false; ///< Whether its share is final.
};

/// \brief Raises the level, which is the share per unit of weight, until each claim is satisfied or lacks a resource.
class water_filling
{
public:
    water_filling(const resources &capacity, std::span<const share_claim> claims)
        : m_shares(claims.size())
    {
        m_claims.reserve(claims.size());
        for (std::size_t position = 0; position < claims.size(); ++position) {
            add(position, claims[position], capacity);
        }
        std::ranges::sort(m_claims, {}, &filling_claim::satisfiedAt);
    }

    auto run() -> std::vector<double>
    {
        for (auto &claim : m_claims) {
            while (!claim.frozen && !raiseTo(claim.satisfiedAt)) {
                freezeClaimsOfUsedUp();
            }
            if (!claim.frozen) {
                freeze(claim, claim.wanted);
            }
        }
        return std::move(m_shares);
    }

private:
    auto add(std::size_t position, const share_claim &claim, const resources &capacity) -> void
    {
        auto demand = claim.use;
        demand += claim.waiting;
        const auto wanted = dominantFraction(demand, capacity);
        if (wanted <= 0) {
            return;
        }
        auto perUnit = fractionsOf(demand, capacity);
        for (std::size_t index = 0; index < resourceCount; ++index) {
            perUnit[index] /= wanted;
            m_rate[index] += claim.weight * perUnit[index];
        }
        m_claims.push_back({position, claim.weight, wanted, wanted / claim.weight, perUnit, false});
    }

    /// \returns false when a resource is used up before \p level is reached
    auto raiseTo(double level) -> bool
    {
        auto highest = std::numeric_limits<double>::infinity();
        for (std::size_t index = 0; index < resourceCount; ++index) {
            if (m_rate[index] > negligible) {
                highest = std::min(highest, m_level + m_remaining[index] / m_rate[index]);
            }
        }
        const auto reached = std::min(level, highest);
        for (std::size_t index = 0; index < resourceCount; ++index) {
            m_remaining[index] = std::max(0.0, m_remaining[index] - (reached - m_level) * m_rate[index]);
        }
        m_level = reached;
        return level <= highest;
    }

    auto freezeClaimsOfUsedUp() -> void
    {
        for (auto &claim : m_claims) {
            const bool lacks = (m_remaining[0] <= negligible && claim.perUnit[0] > 0)
                || (m_remaining[1] <= negligible && claim.perUnit[1] > 0);
            if (!claim.frozen && lacks) {
                freeze(claim, claim.weight * m_level);
            }
        }
    }

    auto freeze(filling_claim &claim, double share) -> void
    {
        claim.frozen = true;
        m_shares[claim.position] = share;
        for (std::size_t index = 0; index < resourceCount; ++index) {
            m_rate[index] -= claim.weight * claim.perUnit[index];
        }
    }

    std::vector<filling_claim> m_claims;
    std::vector<double> m_shares;
    fractions m_rate{}; ///< Resources that the claims not yet frozen take per unit of level.
    fractions m_remaining{1.0, 1.0};
    double m_level = 0;
};
} // namespace

auto dominantFraction(const resources &amount, const resources &capacity) -> double
{
    return std::ranges::max(fractionsOf(amount, capacity));
}

auto fairShares(const resources &capacity, std::span<const share_claim> claims) -> std::vector<double>
{
    return water_filling{capacity, claims}.run();
}
} // namespace poplarpass::jobs
