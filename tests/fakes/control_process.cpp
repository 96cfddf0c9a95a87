#include "control_world.h"

namespace fakes
{
sim_control_process::sim_control_process(control_world &world, core::member_id processName,
                                         std::uint64_t processIncarnation)
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

auto sim_control_process::localNow() const -> core::monotonic_time
{
    const auto since = m_world.now.time_since_epoch();
    return core::monotonic_time{clockStart + since + since * clockPpm / 1'000'000};
}

auto sim_control_process::mayAct() const -> bool
{
    return m_role.mayAct(localNow());
}

auto sim_control_process::tick() -> void
{
    if (!m_reading && !isLogUnreachable) {
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
            m_contacts.clear();
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

auto sim_control_process::read() -> void
{
    m_reading = true;
    const auto startedAt = localNow();
    const auto from = state.offset();
    m_world.deliver(m_world.m_alive[this], *this, [this, startedAt, from] {
        m_reading = false;
        if (!isLogUnreachable && !m_world.logDown) {
            applyPage(startedAt, from);
        }
    });
}

// A page contains at least the records that were in the log when the read started; later ones may be missing.
auto sim_control_process::applyPage(core::monotonic_time startedAt, std::uint64_t from) -> void
{
    for (auto offset = from + 1; offset <= m_world.log.size(); ++offset) {
        const auto &[id, change] = m_world.log[offset - 1];
        state.apply(offset, id, change);
        m_role.onApplied(id, state.control(), localNow());
        m_hosts.onApplied(id);
    }
    m_role.onReadToEnd(startedAt);
}

auto sim_control_process::append(const control::append_request &request, bool isForRole) -> void
{
    const bool isLost = isLogUnreachable || (m_world.logDown && m_world.random(2) == 0);
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

auto sim_control_process::act() -> void
{
    m_decidedAt = m_world.now;
    std::vector<platform::listed_host> listed;
    for (const auto &[host, worker] : m_world.workers) {
        listed.push_back(worker.listed);
    }
    const auto contacts = std::exchange(m_contacts, {});
    const auto outcomes = std::exchange(m_outcomes, {});
    const control::host_observations observations{listed, contacts, outcomes};
    for (const auto &action : m_hosts.decide(state, observations, m_world.wallNow() + wallOffset, localNow())) {
        if (const auto *request = std::get_if<control::append_request>(&action)) {
            append(*request, false);
        } else if (const auto *order = std::get_if<control::order_action>(&action)) {
            sendOrder(*order);
        }
    }
}

auto sim_control_process::probe() -> void
{
    m_probedAt = m_world.now;
    const auto startedAt = localNow();
    for (const auto &[host, worker] : m_world.workers) {
        m_world.deliver(m_world.m_alive[this], *this, [this, startedAt, host = host] {
            const auto &probed = m_world.workers.at(host);
            control::host_contact contact{host, false, 0, false, {}, 0, startedAt};
            if (!areWorkersUnreachable && m_world.isUp(probed)) {
                contact = {host, true, probed.bootId, probed.draining, probed.pool, probed.generation, startedAt};
            }
            m_contacts.push_back(std::move(contact));
        });
    }
}

auto sim_control_process::sendOrder(const control::order_action &action) -> void
{
    const auto alive = std::weak_ptr{m_world.m_alive[this]};
    const bool isUnreachable = areWorkersUnreachable;
    const bool isAnswerLost = m_world.random(100) < m_world.lostAnswerPercent;
    m_world.m_events.at(m_world.now + m_world.delay(), [=, this, &world = m_world] {
        auto &worker = world.workers.at(action.host);
        core::result<platform::order_response> answer = core::failure(core::error_kind::peer_unreachable);
        if (!isUnreachable && world.isUp(worker)) {
            answer = world.handleOrder(worker, action.request);
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
