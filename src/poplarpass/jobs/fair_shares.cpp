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

/// \brief Relative difference of levels that counts as none; rounding errors are far smaller.
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
    }

    // Each round raises the level as far as the claims that are not final allow if none of them is satisfied before.
    // Those that are satisfied on the way leave resources for the next round; a few rounds do, where sorting all claims
    // costs more.
    auto run() -> std::vector<double>
    {
        while (!m_claims.empty()) {
            updateRates();
            const auto level = highestLevel();
            if (!freezeSatisfied(level)) {
                freezeLimited(level);
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
        }
        m_claims.push_back({position, claim.weight, wanted, wanted / claim.weight, perUnit});
    }

    // Summed up again, because differences of sums keep rounding errors of claims that are gone.
    auto updateRates() -> void
    {
        m_rate = {};
        for (const auto &claim : m_claims) {
            for (std::size_t index = 0; index < resourceCount; ++index) {
                m_rate[index] += claim.weight * claim.perUnit[index];
            }
        }
    }

    /// \brief Returns the level at which the claims not yet final use up the first resource.
    [[nodiscard]] auto highestLevel() const -> double
    {
        auto highest = std::numeric_limits<double>::infinity();
        for (std::size_t index = 0; index < resourceCount; ++index) {
            highest = m_rate[index] > 0 ? std::min(highest, m_remaining[index] / m_rate[index]) : highest;
        }
        return highest;
    }

    /// \returns whether any claim is satisfied up to \p level
    auto freezeSatisfied(double level) -> bool
    {
        return freezeWhere([level](const filling_claim &claim) { return claim.satisfiedAt <= level; },
                           [](const filling_claim &claim) { return claim.wanted; });
    }

    /// \brief Gives the claims that need a resource that is used up at \p level what the level gives them.
    auto freezeLimited(double level) -> void
    {
        std::array<bool, resourceCount> usedUp{};
        for (std::size_t index = 0; index < resourceCount; ++index) {
            usedUp[index] = m_rate[index] > 0 && m_remaining[index] / m_rate[index] <= level * (1 + negligible);
        }
        freezeWhere(
            [&](const filling_claim &claim) {
                return (usedUp[0] && claim.perUnit[0] > 0) || (usedUp[1] && claim.perUnit[1] > 0);
            },
            [level](const filling_claim &claim) { return claim.weight * level; });
    }

    template <class predicate, class share_function>
    auto freezeWhere(const predicate &isFinal, const share_function &shareOf) -> bool
    {
        return std::erase_if(m_claims,
                             [&](const filling_claim &claim) {
                                 if (!isFinal(claim)) {
                                     return false;
                                 }
                                 const auto share = shareOf(claim);
                                 m_shares[claim.position] = share;
                                 for (std::size_t index = 0; index < resourceCount; ++index) {
                                     m_remaining[index] =
                                         std::max(0.0, m_remaining[index] - share * claim.perUnit[index]);
                                 }
                                 return true;
                             })
            > 0;
    }

    std::vector<filling_claim> m_claims; ///< Claims whose share is not final yet.
    std::vector<double> m_shares;
    fractions m_rate{}; ///< Resources that the claims not yet final take per unit of level.
    fractions m_remaining{1.0, 1.0}; ///< What the final claims leave.
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
