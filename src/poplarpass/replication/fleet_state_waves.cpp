#include <poplarpass/replication/fleet_state.h>
#include <poplarpass/replication/refusal.h>
#include <poplarpass/replication/state_digest.h>

#include <algorithm>

namespace poplarpass::replication
{
using core::error_kind;
using internal::accepted;
using internal::refused;

auto fleet_state::applyChange(log_offset offset, const wave_record &change) -> applied
{
    if (change.action == wave_action::start) {
        return startWave(offset, change);
    }
    const auto wave = std::ranges::find(m_waves, change.wave, &wave_state::name);
    if (wave == m_waves.end() || wave->finished) {
        return refused(error_kind::invalid_request, "no wave " + change.wave.str() + " is under way");
    }
    if (change.action == wave_action::finish) {
        if (change.controlEpoch == 0 || change.controlEpoch != m_control.epoch) {
            return refused(error_kind::stale_epoch, "control epoch in force is " + std::to_string(m_control.epoch));
        }
        wave->finished = true;
        dropOldFinishedWaves();
    } else {
        const bool pause = change.action == wave_action::pause;
        if (wave->paused == pause) {
            return refused(error_kind::invalid_request, change.wave.str() + (pause ? " is paused" : " is not paused"));
        }
        wave->paused = pause;
    }
    m_waveDigest = internal::digestOf(std::span<const wave_state>{m_waves});
    return accepted();
}

auto fleet_state::startWave(log_offset offset, const wave_record &change) -> applied
{
    if (change.wave.empty() || std::ranges::find(m_waves, change.wave, &wave_state::name) != m_waves.end()) {
        return refused(error_kind::invalid_request, "wave name \"" + change.wave.str() + "\" is empty or was used");
    }
    for (const auto &pool : change.pools) {
        if (findPool(pool) == nullptr) {
            return refused(error_kind::unknown_pool, "no pool " + pool.str());
        }
    }
    m_waves.push_back({change.wave, change.pools, offset, false, false});
    m_waveDigest = internal::digestOf(std::span<const wave_state>{m_waves});
    return accepted();
}

auto fleet_state::dropOldFinishedWaves() -> void
{
    const auto finished = std::ranges::count_if(m_waves, &wave_state::finished);
    if (static_cast<std::size_t>(finished) > maxFinishedWaves) {
        m_waves.erase(std::ranges::find_if(m_waves, &wave_state::finished));
    }
}
} // namespace poplarpass::replication
