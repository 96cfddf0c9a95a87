#include "control_world.h"

namespace fakes
{
control_process::control_process(control_world &world, core::member_id processName, std::uint64_t processIncarnation)
    : name{std::move(processName)}
    , incarnation{processIncarnation}
    , m_world{world}
    , m_role{name, incarnation}
    , m_hosts{name,
              incarnation,
              {world.m_settings.drains ? world.m_settings.drains : control::leastLossPolicy(config::isOpen),
               world.m_settings.moves ? world.m_settings.moves() : control::move_policy{}, config::isOpen}}
{
}

auto control_process::localNow() const -> core::monotonic_time
{
    const auto since = m_world.now.time_since_epoch();
    return core::monotonic_time{clockStart + since + since * clockPpm / 1'000'000};
}

auto control_process::mayAct() const -> bool
{
    return m_role.mayAct(localNow());
}

auto control_process::tick() -> void
{
    if (!m_reading && !cutFromLog) {
        read();
    }
    std::vector<core::member_id> candidates;
    for (const auto &process : m_world.processes) {
        candidates.push_back(process->name);
    }
    if (const auto request = m_role.next(candidates, localNow())) {
        append(*request, true);
    }
    if (!mayAct()) {
        if (std::exchange(m_acted, false)) {
            m_hosts.onRoleLost();
            m_sightings.clear();
            m_outcomes.clear();
        }
        return;
    }
    m_acted = true;
    if (m_world.now - m_probedAt >= seconds{1}) {
        probe();
    }
    if (m_world.now - m_decidedAt >= milliseconds{200}) {
        act();
    }
}

auto control_process::read() -> void
{
    m_reading = true;
    const auto begun = localNow();
    const auto from = state.offset();
    m_world.deliver(m_world.m_alive[this], *this, [this, begun, from] {
        m_reading = false;
        if (!cutFromLog && !m_world.logDown) {
            takePage(begun, from);
        }
    });
}

// A page ends where the log ended when the read was begun, at least: records that land later may be missing from it.
auto control_process::takePage(core::monotonic_time begun, std::uint64_t from) -> void
{
    for (auto offset = from + 1; offset <= m_world.log.size(); ++offset) {
        const auto &[id, change] = m_world.log[offset - 1];
        state.apply(offset, id, change);
        m_role.onApplied(id, state.control(), localNow());
        m_hosts.onApplied(id);
    }
    m_role.onReadToEnd(begun);
}

auto control_process::append(const control::append_request &request, bool isForRole) -> void
{
    const bool isLost = cutFromLog || (m_world.logDown && m_world.random(2) == 0);
    const bool isAnswerLost = m_world.random(100) < m_world.lostAnswerPercent;
    const auto alive = std::weak_ptr{m_world.m_alive[this]};
    m_world.m_events.at(m_world.now + m_world.delay(m_world.logDelay), [=, this, &world = m_world] {
        if (!isLost && !world.logDown) {
            world.write(request.id, request.change);
        }
        if (isForRole && !alive.expired()) {
            world.deliver(alive, *this, [=, this] { m_role.onAppendAnswered(request.id, !isLost && !isAnswerLost); });
        }
    });
}

auto control_process::act() -> void
{
    m_decidedAt = m_world.now;
    std::vector<platform::listed_host> listed;
    for (const auto &[host, worker] : m_world.workers) {
        listed.push_back(worker.listed);
    }
    const auto sightings = std::exchange(m_sightings, {});
    const auto outcomes = std::exchange(m_outcomes, {});
    const control::host_observations observations{listed, sightings, outcomes};
    for (const auto &action : m_hosts.decide(state, observations, m_world.wallNow() + wallStep, localNow())) {
        if (const auto *request = std::get_if<control::append_request>(&action)) {
            append(*request, false);
        } else if (const auto *order = std::get_if<control::order_action>(&action)) {
            give(*order);
        }
    }
}

auto control_process::probe() -> void
{
    m_probedAt = m_world.now;
    const auto begun = localNow();
    for (const auto &[host, worker] : m_world.workers) {
        m_world.deliver(m_world.m_alive[this], *this, [this, begun, host = host] {
            const auto &seen = m_world.workers.at(host);
            control::host_sighting sighting{host, false, 0, false, {}, 0, begun};
            if (!cutFromWorkers && m_world.isUp(seen)) {
                sighting = {host, true, seen.bootId, seen.draining, seen.pool, seen.generation, begun};
            }
            m_sightings.push_back(std::move(sighting));
        });
    }
}

auto control_process::give(const control::order_action &action) -> void
{
    const auto alive = std::weak_ptr{m_world.m_alive[this]};
    const bool isCut = cutFromWorkers;
    const bool isAnswerLost = m_world.random(100) < m_world.lostAnswerPercent;
    m_world.m_events.at(m_world.now + m_world.delay(), [=, this, &world = m_world] {
        auto &worker = world.workers.at(action.host);
        core::result<platform::order_answer> answer = core::failure(core::error_kind::peer_unreachable);
        if (!isCut && world.isUp(worker)) {
            answer = world.serve(worker, action.request);
        }
        if (isAnswerLost) {
            answer = core::failure(core::error_kind::peer_unreachable);
        }
        if (!alive.expired()) {
            world.deliver(alive, *this, [=, this] { m_outcomes.push_back({action.host, action.request, answer}); });
        }
    });
}
} // namespace fakes
