#include "fleet_sim.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace tests
{
auto fleet_sim::append(request::membership next) -> void
{
    next.epoch = m_log.size() + 1;
    const auto wall = instantOf(0).wall;
    const auto before = m_log.empty() ? std::vector<request::member_ref>{} : m_log.back().members;
    const bool removes = std::ranges::any_of(before, [&next](const auto &member) { return !contains(next, member); });
    std::erase_if(next.unsettled, [this](const auto &removal) { return removal.epoch <= m_settled; });
    if (removes) {
        next.unsettled.push_back({next.epoch, before});
    }
    if (before.size() < 2 || next.members.size() < 2) {
        next.singleMemberUntil = wall;
    }
    m_log.push_back(std::move(next));
}

auto fleet_sim::settle(std::uint64_t epoch) -> void
{
    for (auto &loss : m_log.back().losses) {
        if (loss.epoch > m_settled && loss.epoch <= epoch) {
            loss.at = instantOf(0).wall;
        }
    }
    m_settled = std::max(m_settled, epoch);
}

auto fleet_sim::join(int index) -> void
{
    auto next = m_log.empty() ? request::membership{} : m_log.back();
    const request::member_ref self{memberName(index), m_hosts[static_cast<std::size_t>(index)].incarnation};
    for (const auto &member : next.members) {
        if (member.member == self.member) {
            next.losses.push_back({member, m_log.size() + 1, instantOf(0).wall});
        }
    }
    std::erase_if(next.members, [&self](const auto &member) { return member.member == self.member; });
    next.members.push_back(self);
    append(std::move(next));
}

auto fleet_sim::removeMember(const request::member_ref &member, bool lost) -> void
{
    auto next = m_log.back();
    std::erase(next.members, member);
    if (lost) {
        next.losses.push_back({member, m_log.size() + 1, instantOf(0).wall});
    }
    append(std::move(next));
}

auto fleet_sim::runController() -> void
{
    if (m_now >= m_logDownUntil && !m_log.empty()) {
        for (const auto &member : m_log.back().members) {
            const auto &node = m_hosts[static_cast<std::size_t>(memberIndex(member.member))];
            const bool running = node.process && node.incarnation == member.incarnation;
            const bool stopped = !running && m_now - node.stoppedAt > 2s;
            const bool unresponsive = running && m_now - node.unhealthySince > 3s && chance(0.3);
            if ((stopped || unresponsive) && m_log.back().members.size() > 1) {
                removeMember(member, true);
                break;
            }
        }
    }
    after(500ms, [this] { runController(); });
}

auto fleet_sim::injectEntryFault() -> void
{
    if (m_now >= m_faultsEnd) {
        return;
    }
    const auto index = static_cast<int>(m_random() % m_hosts.size());
    auto &node = m_hosts[static_cast<std::size_t>(index)];
    const auto length = std::min(between(500ms, 30s), m_faultsEnd - m_now);
    switch (m_random() % 9) {
    case 0:
    case 1:
        stopEntry(index);
        after(between(100ms, 8s), [this, index] { startEntry(index); });
        break;
    case 2:
        node.frozenUntil = std::max(node.frozenUntil, m_now + length);
        node.unhealthySince = m_now;
        after(length, [this, index] { m_hosts[static_cast<std::size_t>(index)].unhealthySince = time::max(); });
        break;
    case 3: {
        const auto peer = static_cast<int>(m_random() % m_hosts.size());
        m_partitions[{index, peer}] = m_now + length;
        if (chance(0.5)) {
            m_partitions[{peer, index}] = m_now + length;
        }
        break;
    }
    case 4:
        for (int peer = 0; peer < m_options.entries; ++peer) {
            m_partitions[{index, peer}] = m_now + length;
            m_partitions[{peer, index}] = m_now + length;
        }
        node.unhealthySince = m_now;
        after(length, [this, index] { m_hosts[static_cast<std::size_t>(index)].unhealthySince = time::max(); });
        break;
    case 5:
        node.logUnreachableUntil = m_now + length;
        break;
    case 6:
        m_logDownUntil = std::max(m_logDownUntil, m_now + length);
        break;
    case 7:
        beginDrain(index);
        break;
    default:
        if (m_log.size() > 1 && m_now >= m_logDownUntil && m_log.back().members.size() > 1) {
            const auto members = m_log.back().members;
            removeMember(members[m_random() % members.size()], true);
        }
        break;
    }
    after(chance(0.3) ? 0ms : between(100ms, 8s), [this] { injectEntryFault(); });
}

// Planned stop: new requests are ignored and running jobs end; then the keys are handed over, and only then is the
// removal record appended and the process stopped.
auto fleet_sim::beginDrain(int index) -> void
{
    auto &node = m_hosts[static_cast<std::size_t>(index)];
    if (!node.process || m_now < node.frozenUntil || node.process->leaving) {
        return;
    }
    if (m_log.empty() || !contains(m_log.back(), node.process->authority.self())) {
        return;
    }
    node.process->leaving = true;
    awaitHandover(index, node.incarnation);
}

auto fleet_sim::awaitHandover(int index, std::uint64_t incarnation) -> void
{
    onHost(index, incarnation, [this, index, incarnation](entry &process) {
        const auto self = process.authority.self();
        const bool done = process.keys.activeCount() == 0;
        const bool complete = done && process.keys.transferComplete();
        const bool listed = contains(m_log.back(), self);
        if (!listed || ((complete || (done && chance(0.05))) && m_now >= m_logDownUntil)) {
            if (listed) {
                removeMember(self, !complete);
            }
            after(0ms, [this, index, incarnation] { restart(index, incarnation); });
            return;
        }
        if (done && !complete) {
            execute(index, process, process.keys.transferKeys(instantOf(index)));
        }
        after(200ms, [this, index, incarnation] { awaitHandover(index, incarnation); });
    });
}

auto fleet_sim::injectWorkerFault() -> void
{
    if (m_now >= m_faultsEnd) {
        return;
    }
    auto &target = m_workers[m_random() % m_workers.size()];
    target.downUntil = m_now + between(100ms, 5s);
    ++target.boot;
    target.leases.clear();
    target.tasks.clear();
    after(between(2s, 20s), [this] { injectWorkerFault(); });
}

auto fleet_sim::newKey() -> void
{
    after(between(50ms, 400ms), [this] { newKey(); });
    const bool mintedAfterFaults = m_now > m_faultsEnd + 40s;
    const auto skew = chance(0.9) ? between(-3s, 4s) : between(-12min, 20s);
    const auto key =
        request::makeUuid7(instantOf(0).wall + (mintedAfterFaults ? between(-100ms, 100ms) : skew), m_random).str();
    m_keys[key].mintedAfterFaults = mintedAfterFaults;
    const int repeats = chance(0.5) ? 1 : 1 + static_cast<int>(m_random() % 5);
    for (int repeat = 0; repeat < repeats; ++repeat) {
        const auto index = static_cast<int>(m_random() % m_hosts.size());
        const auto delay = chance(0.5) ? between(0ms, 3ms) : between(0ms, mintedAfterFaults ? 5s : 40s);
        after(delay, [this, index, key] { submit(index, key, "input", core::team_id{"team"}); });
    }
    if (chance(0.1)) {
        const auto index = static_cast<int>(m_random() % m_hosts.size());
        const bool cancels = !mintedAfterFaults && chance(0.5);
        after(between(0ms, 2s), [this, index, key, cancels] {
            auto &node = m_hosts[static_cast<std::size_t>(index)];
            if (node.process && m_now >= node.frozenUntil) {
                const auto waiter = ++m_lastWaiter;
                m_waiters[waiter] = {key, index, node.incarnation, m_now, 0, true};
                const core::job_key name{key};
                auto &keys = node.process->keys;
                const auto now = instantOf(index);
                execute(index, *node.process,
                        cancels ? keys.cancel(name, waiter, now) : keys.requestAnswer(name, waiter, now));
            }
        });
    }
}

auto fleet_sim::submit(int index, const std::string &key, const std::string &payload, core::team_id team) -> void
{
    auto &node = m_hosts[static_cast<std::size_t>(index)];
    if (!node.process || m_now < node.frozenUntil || node.process->leaving) {
        return;
    }
    request::job_spec spec;
    spec.key = core::job_key{key};
    spec.team = std::move(team);
    spec.payload = payload;
    const auto waiter = ++m_lastWaiter;
    m_waiters[waiter] = {key, index, node.incarnation, m_now, 0, false};
    ++m_report.submitted;
    trace(key, "submitted at " + std::to_string(index) + "." + std::to_string(node.incarnation));
    execute(index, *node.process, node.process->keys.submit(spec, waiter, instantOf(index)));
}

auto fleet_sim::isLogReachable(int index) const -> bool
{
    return m_now >= m_logDownUntil && m_now >= m_hosts[static_cast<std::size_t>(index)].logUnreachableUntil;
}
} // namespace tests
