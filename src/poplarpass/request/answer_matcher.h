#pragma once

#include <poplarpass/platform/worker_service.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace poplarpass::request
{
/// \brief Classification of an answer.
enum class answer_match {
    own, ///< The first answer to the attempt that it was received for.
    late, ///< The attempt was abandoned, or another attempt of the task was answered first.
    duplicate, ///< The attempt was already answered.
    mismatched, ///< It contains a task or attempt ID other than those that it was received for.
    unknown, ///< It contains an attempt ID that this process did not send or has evicted.
};

/// \brief Number of values of answer_match.
inline constexpr std::size_t answerMatchCount = 5;

/// \brief Detects late, duplicate and mismatched answers by task and attempt.
class answer_matcher
{
public:
    /// \brief Records that \p attemptId of \p taskId is sent.
    auto open(std::string_view taskId, std::string_view attemptId) -> void;
    /// \brief Records that the answer to \p attemptId is no longer awaited.
    auto abandon(std::string_view attemptId) -> void;
    /// \brief Classifies and counts an answer received for \p attemptId; only an own answer may be used.
    auto match(std::string_view attemptId, const platform::start_response &answer) -> answer_match;
    /// \brief Asserts that \p answer is complete and belongs to \p taskId before it is sent to the caller.
    static auto requireOwn(std::string_view taskId, const platform::start_response &answer) -> void;

    /// \brief Returns the number of answers classified as \p match.
    [[nodiscard]] auto count(answer_match match) const -> std::uint64_t;
    /// \brief Returns the number of attempts whose answers are awaited.
    [[nodiscard]] auto openCount() const -> std::size_t;

private:
    enum class attempt_end : std::uint8_t {
        none,
        answered,
        abandoned,
    };

    struct attempt
    {
        std::string taskId;
        attempt_end end = attempt_end::none;
    };

    auto classify(std::string_view attemptId, const platform::start_response &answer) -> answer_match;
    auto close(const std::string &attemptId, attempt &sent, attempt_end end) -> void;

    std::unordered_map<std::string, attempt> m_attempts;
    std::deque<std::string> m_closed;
    std::size_t m_open = 0;
    std::array<std::uint64_t, answerMatchCount> m_counts{};
};
} // namespace poplarpass::request
