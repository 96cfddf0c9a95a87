#include <poplarpass/net/peer_state.h>

#include <algorithm>

namespace poplarpass::net::internal
{
auto countProblem(peer_link_counters &counters, frame_problem problem) -> void
{
    switch (problem) {
    case frame_problem::malformed:
        ++counters.malformed;
        break;
    case frame_problem::unauthorised:
        ++counters.unauthorised;
        break;
    case frame_problem::replayed:
        ++counters.replayed;
        break;
    }
}

auto countProblem(peer_link_counters &counters, const core::error &problem) -> void
{
    ++(problem.kind == core::error_kind::unauthorised ? counters.unauthorised : counters.malformed);
}

auto countProblem(peer_link_counters &counters, websocket::end_reason reason) -> void
{
    counters.malformed += reason == websocket::end_reason::malformed ? 1 : 0;
    counters.oversized += reason == websocket::end_reason::oversized ? 1 : 0;
}

backoff::backoff(std::chrono::milliseconds least, std::chrono::milliseconds most)
    : m_least{least}
    , m_most{most}
    , m_current{least}
{
}

auto backoff::next(std::uint64_t randomNumber) -> std::chrono::microseconds
{
    const std::chrono::microseconds full = m_current;
    m_current = std::min(m_most, 2 * m_current);
    const auto range = static_cast<std::uint64_t>(full.count() / 2 + 1);
    return full - std::chrono::microseconds{randomNumber % range};
}

auto backoff::reset() -> void
{
    m_current = m_least;
}

auto peer_state::isSuperseded(std::uint64_t candidate) const -> bool
{
    return std::ranges::find(superseded, candidate) != superseded.end();
}

auto peer_state::adopt(std::uint64_t proven) -> bool
{
    if (incarnation == proven) {
        return false;
    }
    const bool replaces = incarnation.has_value();
    if (replaces) {
        superseded.push_back(*incarnation);
    }
    if (superseded.size() > rememberedIncarnations) {
        superseded.pop_front();
    }
    incarnation = proven;
    return replaces;
}
} // namespace poplarpass::net::internal
