#include "fleet_sim.h"

#include <poplarpass/core/invariant.h>

using namespace std::chrono_literals;

namespace tests
{
namespace
{
constexpr auto tickInterval = 20ms;
constexpr auto heartbeatInterval = 200ms;
constexpr auto answerBound = 20s;
} // namespace

fleet_sim::entry::entry(request::member_ref self)
    : authority{std::move(self)}
    , keys{authority, jobs}
{
}

fleet_sim::fleet_sim(sim_options options)
    : m_options{options}
    , m_random{options.seed}
    , m_hosts(static_cast<std::size_t>(options.entries))
    , m_workers(3)
{
    m_logDownUntil = m_now;
    m_faultsEnd = m_now + 50s;
    m_end = m_faultsEnd + 60s;
    for (int index = 0; index < options.entries; ++index) {
        auto &node = m_hosts[static_cast<std::size_t>(index)];
        node.clockOffset = between(-400ms, 400ms);
        node.frozenUntil = m_now;
        node.logUnreachableUntil = m_now;
        after(between(0ms, 500ms), [this, index] { startEntry(index); });
    }
    for (auto &target : m_workers) {
        target.downUntil = m_now;
    }
}

auto fleet_sim::run() -> sim_report
{
    const auto previous = core::setBreachHandler([this](core::invariant_kind kind, std::string_view evidence) {
        m_report.violations.push_back("breach of " + std::string{core::nameOf(kind)} + ": " + std::string{evidence});
    });
    after(500ms, [this] { runController(); });
    after(1s, [this] { newKey(); });
    if (m_options.faults) {
        after(between(1s, 12s), [this] { injectEntryFault(); });
        after(between(1s, 12s), [this] { injectWorkerFault(); });
    }
    while (!m_events.empty() && m_events.top().due <= m_end) {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.due;
        next.run();
    }
    check();
    core::setBreachHandler(previous);
    return m_report;
}

auto fleet_sim::at(time due, task run) -> void
{
    m_events.push({due, ++m_order, std::move(run)});
}

auto fleet_sim::after(core::duration delay, task run) -> void
{
    at(m_now + delay, std::move(run));
}

// Events at a frozen process are deferred until it resumes.
auto fleet_sim::onHost(int index, std::uint64_t incarnation, const std::function<void(entry &)> &run) -> void
{
    auto &node = m_hosts[static_cast<std::size_t>(index)];
    if (!node.process || node.incarnation != incarnation) {
        return;
    }
    if (m_now < node.frozenUntil) {
        at(node.frozenUntil + between(0ms, 1ms), [this, index, incarnation, run] { onHost(index, incarnation, run); });
        return;
    }
    run(*node.process);
}

auto fleet_sim::instantOf(int index) const -> request::instant
{
    const auto base = core::fromUnixMilliseconds(1'800'000'000'000);
    return {m_now, base + m_now.time_since_epoch() + m_hosts[static_cast<std::size_t>(index)].clockOffset};
}

auto fleet_sim::chance(double probability) -> bool
{
    return std::uniform_real_distribution{}(m_random) < probability;
}

auto fleet_sim::between(core::duration low, core::duration high) -> core::duration
{
    return core::duration{std::uniform_int_distribution{low.count(), high.count()}(m_random)};
}

auto fleet_sim::trace(const std::string &key, const std::string &text) -> void
{
    m_keys[key].steps.push_back(std::to_string(m_now.time_since_epoch().count() / 1000) + "ms " + text);
}

auto fleet_sim::reportViolation(const std::string &key, const std::string &text) -> void
{
    auto evidence = text + " key=" + key;
    for (const auto &line : m_keys[key].steps) {
        evidence += "\n    " + line;
    }
    m_report.violations.push_back(evidence);
}

auto fleet_sim::startEntry(int index) -> void
{
    auto &node = m_hosts[static_cast<std::size_t>(index)];
    if (node.process) {
        return;
    }
    ++node.incarnation;
    node.frozenUntil = m_now;
    node.unhealthySince = time::max();
    node.process = std::make_unique<entry>(request::member_ref{memberName(index), node.incarnation});
    const auto incarnation = node.incarnation;
    tick(index, incarnation);
    heartbeat(index, incarnation);
    readLog(index, incarnation);
}

auto fleet_sim::stopEntry(int index) -> void
{
    auto &node = m_hosts[static_cast<std::size_t>(index)];
    node.process.reset();
    node.stoppedAt = m_now;
}

auto fleet_sim::tick(int index, std::uint64_t incarnation) -> void
{
    onHost(index, incarnation, [this, index, incarnation](entry &process) {
        process.authority.advance(instantOf(index));
        execute(index, process, process.keys.advance(instantOf(index)));
        after(tickInterval, [this, index, incarnation] { tick(index, incarnation); });
    });
}

auto fleet_sim::heartbeat(int index, std::uint64_t incarnation) -> void
{
    onHost(index, incarnation, [this, index, incarnation](entry &process) {
        for (int peer = 0; peer < m_options.entries; ++peer) {
            if (peer == index) {
                continue;
            }
            const auto name = memberName(peer);
            const auto &[echo, echoIncarnation] = process.lastReceived[name];
            request::heartbeat beat;
            beat.from = process.authority.self();
            beat.sequence = ++process.sentSequences[name];
            beat.echo = echo;
            beat.echoIncarnation = echoIncarnation;
            beat.epoch = process.authority.foldedEpoch();
            beat.actingEpoch = process.authority.activeMembership().epoch;
            process.authority.pingSent(name, beat.sequence, m_now);
            send(index, {name, 0}, beat);
        }
        after(heartbeatInterval, [this, index, incarnation] { heartbeat(index, incarnation); });
    });
}

auto fleet_sim::readLog(int index, std::uint64_t incarnation) -> void
{
    const auto startedAt = m_now;
    const auto upTo = m_log.size();
    const auto settled = m_settled;
    const bool up = isLogReachable(index);
    const auto latency =
        m_options.faults && m_now < m_faultsEnd && chance(0.05) ? between(20ms, 3s) : between(1ms, 20ms);
    after(latency, [this, index, incarnation, startedAt, upTo, settled, up] {
        onHost(index, incarnation, [this, index, startedAt, upTo, settled, up](entry &process) {
            if (up) {
                fold(index, process, upTo, settled, startedAt);
            }
        });
        after(100ms, [this, index, incarnation] {
            onHost(index, incarnation,
                   [this, index, incarnation](entry & /*process*/) { readLog(index, incarnation); });
        });
    });
}

// A process starts from a snapshot, which may be a few records behind the log.
auto fleet_sim::fold(int index, entry &process, std::size_t upTo, std::uint64_t settled, time startedAt) -> void
{
    if (process.folded == 0 && upTo > 1) {
        process.folded = upTo - 1 - m_random() % std::min<std::size_t>(upTo, 3);
    }
    for (; process.folded < upTo; ++process.folded) {
        process.authority.foldMembership(m_log[process.folded], instantOf(index));
    }
    process.authority.foldSettled(settled);
    if (const auto epoch = process.authority.epochToSettle(); epoch && isLogReachable(index)) {
        settle(*epoch);
    }
    process.authority.logReadToEnd(startedAt);
    process.authority.advance(instantOf(index));
    execute(index, process, process.keys.advance(instantOf(index)));
    const auto self = process.authority.self();
    const bool listed = !m_log.empty() && contains(m_log.back(), self);
    bool everListed = false;
    for (const auto &list : m_log) {
        everListed = everListed || contains(list, self);
    }
    if (!listed && !everListed && !process.leaving) {
        join(index);
    } else if (!listed && everListed && chance(0.05)) {
        const auto incarnation = self.incarnation;
        after(0ms, [this, index, incarnation] { restart(index, incarnation); });
    }
}

auto fleet_sim::restart(int index, std::uint64_t incarnation) -> void
{
    if (m_hosts[static_cast<std::size_t>(index)].incarnation == incarnation) {
        stopEntry(index);
        after(between(100ms, 2s), [this, index] { startEntry(index); });
    }
}

auto fleet_sim::execute(int index, entry &process, const request::key_actions &actions) -> void
{
    for (const auto &action : actions) {
        if (const auto *message = std::get_if<request::send_action>(&action)) {
            send(index, message->to, message->message);
        } else if (const auto *start = std::get_if<request::dispatch_action>(&action)) {
            auto &state = process.attempts[start->key];
            state.spec = start->spec;
            state.startDeadline = m_now + 8s;
            trace(start->spec->key.str(),
                  "dispatched at " + std::to_string(index) + " in epoch "
                      + std::to_string(process.authority.activeMembership().epoch));
            const auto key = start->key;
            const auto incarnation = process.authority.self().incarnation;
            after(chance(0.1) ? between(0ms, 3s) : between(0ms, 5ms), [this, index, incarnation, key] {
                onHost(index, incarnation, [this, index, key](entry &current) { tryStart(index, current, key); });
            });
        } else if (const auto *done = std::get_if<request::answer_action>(&action)) {
            answer(index, process, done->waiter, *done->answer);
        } else if (const auto *result = std::get_if<request::cancel_action>(&action)) {
            cancelAnswered(*result);
        } else if (const auto *stop = std::get_if<request::stop_action>(&action)) {
            stopTask(stop->key, process.attempts[stop->key].worker);
        }
    }
}

auto fleet_sim::answer(int index, entry & /*process*/, request::waiter_id waiter, const request::job_answer &answer)
    -> void
{
    auto &state = m_waiters.at(waiter);
    auto &key = m_keys[state.key];
    const auto outcome = request::runStateOf(answer);
    const auto text =
        answer ? *answer : std::string{core::errorSpecOf(answer.error().kind).name} + ": " + answer.error().detail;
    trace(state.key, "waiter " + std::to_string(waiter) + " at " + std::to_string(index) + " received " + text);
    if (++state.answers > 1) {
        reportViolation(state.key, "answered twice");
    }
    if (answer && *answer != "output of " + state.key) {
        reportViolation(state.key, "received the answer of another job");
    }
    if (outcome == core::run_state::ran && key.starts == 0) {
        reportViolation(state.key, "reported as run, but it never started");
    }
    key.reportedNotRun = key.reportedNotRun || outcome == core::run_state::not_run;
    m_report.ran += outcome == core::run_state::ran ? 1 : 0;
    m_report.notRun += outcome == core::run_state::not_run ? 1 : 0;
    m_report.unknown += outcome == core::run_state::unknown ? 1 : 0;
    m_report.lateUnknown += outcome == core::run_state::unknown && key.mintedAfterFaults && !state.isQuery ? 1 : 0;
    if (outcome == core::run_state::unknown && key.mintedAfterFaults && !state.isQuery) {
        reportViolation(state.key, "run state unknown for a key minted after the faults ended");
    }
}

auto fleet_sim::cancelAnswered(const request::cancel_action &result) -> void
{
    auto &state = m_waiters.at(result.waiter);
    auto &key = m_keys[state.key];
    trace(state.key, "cancellation outcome " + std::to_string(static_cast<int>(result.outcome)));
    if (++state.answers > 1) {
        reportViolation(state.key, "cancellation answered twice");
    }
    key.reportedNotRun = key.reportedNotRun || result.outcome == request::cancel_outcome::cancelled;
    if (result.outcome == request::cancel_outcome::stopped && key.starts == 0) {
        reportViolation(state.key, "reported as stopped, but it never started");
    }
}

// Random delays reorder messages; some messages are lost, duplicated or delayed by seconds.
auto fleet_sim::send(int from, const request::member_ref &to, const request::peer_message &message) -> void
{
    const auto target = memberIndex(to.member);
    const auto sender = m_hosts[static_cast<std::size_t>(from)].process->authority.self();
    const auto partition = m_partitions.find({from, target});
    const bool lost = (partition != m_partitions.end() && m_now < partition->second)
        || (m_options.faults && m_now < m_faultsEnd && chance(0.01));
    if (lost) {
        if (chance(0.2)) {
            after(between(10ms, 400ms), [this, from, sender, name = to.member] {
                onHost(from, sender.incarnation, [this, from, name](entry &process) {
                    execute(from, process, process.keys.unreachable(name, instantOf(from)));
                });
            });
        }
        return;
    }
    const bool slow = m_options.faults && m_now < m_faultsEnd && chance(0.02);
    const int copies = m_options.faults && chance(0.03) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = slow ? between(5ms, 6s) : between(200us, 3ms);
        after(delay, [this, from, sender, target, message] { deliver(from, sender, target, message); });
    }
}

auto fleet_sim::deliver(int from, const request::member_ref &sender, int to, const request::peer_message &message)
    -> void
{
    auto &node = m_hosts[static_cast<std::size_t>(to)];
    if (!node.process) {
        refuseConnection(from, memberName(to), between(200us, 2ms));
        return;
    }
    onHost(to, node.incarnation, [this, to, sender, message](entry &process) {
        if (const auto *beat = std::get_if<request::heartbeat>(&message)) {
            auto &lastReceived = process.lastReceived[sender.member];
            if (sender.incarnation >= lastReceived.second) {
                lastReceived = {sender.incarnation > lastReceived.second ? beat->sequence
                                                                         : std::max(lastReceived.first, beat->sequence),
                                sender.incarnation};
            }
            process.authority.heartbeatReceived(*beat, instantOf(to));
        }
        execute(to, process, process.keys.receive(sender, message, instantOf(to)));
    });
}

auto fleet_sim::refuseConnection(int from, const core::member_id &to, core::duration delay) -> void
{
    auto &node = m_hosts[static_cast<std::size_t>(from)];
    if (!node.process || to.empty()) {
        return;
    }
    after(delay, [this, from, to, incarnation = node.incarnation, triedAt = m_now] {
        onHost(from, incarnation, [this, from, to, triedAt](entry &process) {
            process.authority.connectionRefused(to, triedAt);
            execute(from, process, process.keys.unreachable(to, instantOf(from)));
        });
    });
}

auto fleet_sim::check() -> void
{
    for (const auto &[name, state] : m_keys) {
        if (state.starts > 1) {
            reportViolation(name, "started " + std::to_string(state.starts) + " times");
        }
        if (state.reportedNotRun && state.starts > 0) {
            reportViolation(name, "reported as not run, but it started");
        }
    }
    for (const auto &[id, state] : m_waiters) {
        const auto &node = m_hosts[static_cast<std::size_t>(state.host)];
        const bool alive = node.process && node.incarnation == state.incarnation;
        if (alive && state.answers == 0 && m_now - state.requestedAt > answerBound
            && node.frozenUntil + answerBound < m_now) {
            reportViolation(state.key, "waiter " + std::to_string(id) + " was never answered");
        }
    }
}
} // namespace tests
