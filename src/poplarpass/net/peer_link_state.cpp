#include <poplarpass/net/peer_link_state.h>

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

backoff::backoff(std::chrono::milliseconds minDelay, std::chrono::milliseconds maxDelay)
    : m_minDelay{minDelay}
    , m_maxDelay{maxDelay}
    , m_current{minDelay}
{
}

auto backoff::next(std::uint64_t randomNumber) -> std::chrono::microseconds
{
    const std::chrono::microseconds full = m_current;
    m_current = std::min(m_maxDelay, 2 * m_current);
    const auto range = static_cast<std::uint64_t>(full.count() / 2 + 1);
    return full - std::chrono::microseconds{randomNumber % range};
}

auto backoff::reset() -> void
{
    m_current = m_minDelay;
}

auto peer_link_state::isSuperseded(std::uint64_t candidate) const -> bool
{
    return std::ranges::find(superseded, candidate) != superseded.end();
}

auto peer_link_state::updateIncarnation(std::uint64_t proven) -> bool
{
    if (incarnation == proven) {
        return false;
    }
    const bool supersedes = incarnation.has_value();
    if (supersedes) {
        superseded.push_back(*incarnation);
    }
    if (superseded.size() > maxSupersededIncarnations) {
        superseded.pop_front();
    }
    incarnation = proven;
    return supersedes;
}
} // namespace poplarpass::net::internal
