#pragma once

namespace poplarpass::request
{
/// \brief Token bucket that limits the retries and hedges of a host to a share of its first attempts.
class retry_budget
{
public:
    retry_budget();
    /// \param share tokens added by each first attempt
    /// \param burst capacity in tokens; the bucket starts full
    retry_budget(double share, double burst);

    /// \brief Adds the tokens of one first attempt.
    auto recordFirstAttempt() -> void;
    /// \brief Consumes one token.
    /// \returns false if none is left: the retry or hedge must not be sent
    auto tryConsume() -> bool;
    /// \brief Returns the number of tokens left.
    [[nodiscard]] auto tokens() const -> double;

private:
    double m_share;
    double m_burst;
    double m_tokens;
};
} // namespace poplarpass::request
