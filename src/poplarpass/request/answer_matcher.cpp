#include <poplarpass/core/invariant.h>
#include <poplarpass/request/answer_matcher.h>
#include <poplarpass/request/constants.h>

namespace poplarpass::request
{
auto answer_matcher::open(std::string_view taskId, std::string_view attemptId) -> void
{
    m_attempts[std::string{attemptId}] = attempt{std::string{taskId}, attempt_end::none};
    ++m_open;
}

auto answer_matcher::abandon(std::string_view attemptId) -> void
{
    const auto found = m_attempts.find(std::string{attemptId});
    if (found != m_attempts.end() && found->second.end == attempt_end::none) {
        close(found->first, found->second, attempt_end::abandoned);
    }
}

auto answer_matcher::match(std::string_view attemptId, const platform::start_response &answer) -> answer_match
{
    const auto result = classify(attemptId, answer);
    ++m_counts[static_cast<std::size_t>(result)];
    return result;
}

auto answer_matcher::requireOwn(std::string_view taskId, const platform::start_response &answer) -> void
{
    const bool certain = answer.outcome != platform::start_outcome::uncertain;
    core::requireInvariant(certain && answer.taskId == taskId, core::invariant_kind::own_whole_answer, [&] {
        return "task=" + std::string{taskId} + " received an uncertain answer or that of task " + answer.taskId;
    });
}

auto answer_matcher::count(answer_match match) const -> std::uint64_t
{
    return m_counts[static_cast<std::size_t>(match)];
}

auto answer_matcher::openCount() const -> std::size_t
{
    return m_open;
}

auto answer_matcher::classify(std::string_view attemptId, const platform::start_response &answer) -> answer_match
{
    const auto found = m_attempts.find(std::string{attemptId});
    if (found == m_attempts.end()) {
        return answer_match::unknown;
    }
    if (answer.attemptId != attemptId || answer.taskId != found->second.taskId) {
        return answer_match::mismatched;
    }
    switch (found->second.end) {
    case attempt_end::answered:
        return answer_match::duplicate;
    case attempt_end::abandoned:
        return answer_match::late;
    case attempt_end::none:
        break;
    }
    close(found->first, found->second, attempt_end::answered);
    return answer_match::own;
}

auto answer_matcher::close(const std::string &attemptId, attempt &sent, attempt_end end) -> void
{
    sent.end = end;
    --m_open;
    m_closed.push_back(attemptId);
    if (m_closed.size() > maxClosedAttempts) {
        m_attempts.erase(m_closed.front());
        m_closed.pop_front();
    }
}
} // namespace poplarpass::request
