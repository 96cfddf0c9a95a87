#pragma once

namespace poplarpass::request
{
/// \brief Token bucket that limits retries and hedges to a share of first attempts; one for the whole host.
class retry_budget
{
public:
    retry_budget();
    /// \param share tokens that each first attempt adds
    /// \param burst most tokens that can be saved up; the bucket starts full
    retry_budget(double share, double burst);

    /// \brief Notes a first attempt.
    auto firstAttempt() -> void;
    /// \brief Takes one token.
    /// \returns false when there is none: the retry or hedge must not be sent
    auto tryTake() -> bool;
    /// \brief Tokens left.
    [[nodiscard]] auto tokens() const -> double;

private:
    double m_share;
    double m_burst;
    double m_tokens;
};
} // namespace poplarpass::request
