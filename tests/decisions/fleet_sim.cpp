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
    : decider{std::move(self)}
    , keys{decider, jobs}
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
        auto &place = m_hosts[static_cast<std::size_t>(index)];
        place.clockOffset = between(-400ms, 400ms);
        place.frozenUntil = m_now;
        place.logCutUntil = m_now;
        after(between(0ms, 500ms), [this, index] { startEntry(index); });
    }
    for (auto &target : m_workers) {
        target.deadUntil = m_now;
    }
}

auto fleet_sim::run() -> sim_report
{
    const auto previous = core::setBreachHandler([this](core::invariant_kind kind, std::string_view evidence) {
        m_report.problems.push_back("breach of " + std::string{core::nameOf(kind)} + ": " + std::string{evidence});
    });
    after(500ms, [this] { control(); });
    after(1s, [this] { newKey(); });
    if (m_options.faults) {
        after(between(1s, 12s), [this] { fault(); });
        after(between(1s, 12s), [this] { workerFault(); });
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

// What happens at a frozen process waits until it wakes.
auto fleet_sim::onHost(int index, std::uint64_t incarnation, std::function<void(entry &)> run) -> void
{
    auto &place = m_hosts[static_cast<std::size_t>(index)];
    if (!place.process || place.incarnation != incarnation) {
        return;
    }
    if (m_now < place.frozenUntil) {
        at(place.frozenUntil + between(0ms, 1ms), [this, index, incarnation, run] { onHost(index, incarnation, run); });
        return;
    }
    run(*place.process);
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

auto fleet_sim::note(const std::string &key, const std::string &text) -> void
{
    m_keys[key].trace.push_back(std::to_string(m_now.time_since_epoch().count() / 1000) + "ms " + text);
}

auto fleet_sim::problem(const std::string &key, const std::string &text) -> void
{
    auto evidence = text + " key=" + key;
    for (const auto &line : m_keys[key].trace) {
        evidence += "\n    " + line;
    }
    m_report.problems.push_back(evidence);
}

auto fleet_sim::startEntry(int index) -> void
{
    auto &place = m_hosts[static_cast<std::size_t>(index)];
    if (place.process) {
        return;
    }
    ++place.incarnation;
    place.frozenUntil = m_now;
    place.sickSince = time::max();
    place.process = std::make_unique<entry>(request::member_ref{memberName(index), place.incarnation});
    const auto incarnation = place.incarnation;
    tick(index, incarnation);
    heartbeat(index, incarnation);
    readLog(index, incarnation);
}

auto fleet_sim::stopEntry(int index) -> void
{
    auto &place = m_hosts[static_cast<std::size_t>(index)];
    place.process.reset();
    place.deadSince = m_now;
}

auto fleet_sim::tick(int index, std::uint64_t incarnation) -> void
{
    onHost(index, incarnation, [this, index, incarnation](entry &process) {
        process.decider.advance(instantOf(index));
        act(index, process, process.keys.advance(instantOf(index)));
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
            const auto &[echo, echoIncarnation] = process.heard[name];
            request::heartbeat beat;
            beat.from = process.decider.self();
            beat.sequence = ++process.sequences[name];
            beat.echo = echo;
            beat.echoIncarnation = echoIncarnation;
            beat.epoch = process.decider.foldedEpoch();
            beat.actingEpoch = process.decider.acting().epoch;
            process.decider.pingSent(name, beat.sequence, m_now);
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
    const bool up = logUp(index);
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

// A process starts from a snapshot, which may be some records old.
auto fleet_sim::fold(int index, entry &process, std::size_t upTo, std::uint64_t settled, time startedAt) -> void
{
    if (process.folded == 0 && upTo > 1) {
        process.folded = upTo - 1 - m_random() % std::min<std::size_t>(upTo, 3);
    }
    for (; process.folded < upTo; ++process.folded) {
        process.decider.foldEpoch(m_log[process.folded], instantOf(index));
    }
    process.decider.foldSettled(settled);
    if (const auto epoch = process.decider.epochToSettle(); epoch && logUp(index)) {
        settle(*epoch);
    }
    process.decider.logReadToEnd(startedAt);
    process.decider.advance(instantOf(index));
    act(index, process, process.keys.advance(instantOf(index)));
    const auto self = process.decider.self();
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

auto fleet_sim::act(int index, entry &process, request::key_actions actions) -> void
{
    for (auto &action : actions) {
        if (auto *message = std::get_if<request::send_action>(&action)) {
            send(index, message->to, std::move(message->message));
        } else if (const auto *start = std::get_if<request::dispatch_action>(&action)) {
            auto &state = process.attempts[start->key];
            state.spec = start->spec;
            state.giveUpAt = m_now + 8s;
            note(start->spec->key.str(),
                 "dispatched at " + std::to_string(index) + " in epoch "
                     + std::to_string(process.decider.acting().epoch));
            const auto key = start->key;
            const auto incarnation = process.decider.self().incarnation;
            after(chance(0.1) ? between(0ms, 3s) : between(0ms, 5ms), [this, index, incarnation, key] {
                onHost(index, incarnation, [this, index, key](entry &again) { tryStart(index, again, key); });
            });
        } else if (const auto *done = std::get_if<request::answer_action>(&action)) {
            answer(index, process, done->waiter, *done->answer);
        } else if (const auto *result = std::get_if<request::cancel_action>(&action)) {
            cancelled(*result);
        } else if (const auto *stop = std::get_if<request::stop_action>(&action)) {
            stopTask(stop->key, process.attempts[stop->key].worker);
        }
    }
}

auto fleet_sim::answer(int index, entry & /*process*/, request::waiter_id who, const request::job_answer &answer)
    -> void
{
    auto &facts = m_waiters.at(who);
    auto &key = m_keys[facts.key];
    const auto told = request::runStateOf(answer);
    const auto text =
        answer ? *answer : std::string{core::answerOf(answer.error().kind).name} + ": " + answer.error().detail;
    note(facts.key, "waiter " + std::to_string(who) + " at " + std::to_string(index) + " told " + text);
    if (++facts.answers > 1) {
        problem(facts.key, "answered twice");
    }
    if (answer && *answer != "output of " + facts.key) {
        problem(facts.key, "answer of another job");
    }
    if (told == core::run_state::ran && key.starts == 0) {
        problem(facts.key, "told that it ran");
    }
    key.toldNotRun = key.toldNotRun || told == core::run_state::not_run;
    m_report.ran += told == core::run_state::ran ? 1 : 0;
    m_report.notRun += told == core::run_state::not_run ? 1 : 0;
    m_report.unknown += told == core::run_state::unknown ? 1 : 0;
    m_report.lateUnknown += told == core::run_state::unknown && key.late && !facts.looksUp ? 1 : 0;
    if (told == core::run_state::unknown && key.late && !facts.looksUp) {
        problem(facts.key, "unknown long after the faults ended");
    }
}

auto fleet_sim::cancelled(const request::cancel_action &result) -> void
{
    auto &facts = m_waiters.at(result.waiter);
    auto &key = m_keys[facts.key];
    note(facts.key, "cancellation gave " + std::to_string(static_cast<int>(result.outcome)));
    if (++facts.answers > 1) {
        problem(facts.key, "cancellation answered twice");
    }
    key.toldNotRun = key.toldNotRun || result.outcome == request::cancel_outcome::cancelled;
    if (result.outcome == request::cancel_outcome::stopped && key.starts == 0) {
        problem(facts.key, "stopped without a start");
    }
}

// Delays reorder messages; some are lost, doubled, or come very late.
auto fleet_sim::send(int from, const request::member_ref &to, request::peer_message message) -> void
{
    const auto target = memberIndex(to.member);
    const auto sender = m_hosts[static_cast<std::size_t>(from)].process->decider.self();
    const auto cut = m_cuts.find({from, target});
    const bool lost =
        (cut != m_cuts.end() && m_now < cut->second) || (m_options.faults && m_now < m_faultsEnd && chance(0.01));
    if (lost) {
        if (chance(0.2)) {
            after(between(10ms, 400ms), [this, from, sender, name = to.member] {
                onHost(from, sender.incarnation, [this, from, name](entry &process) {
                    act(from, process, process.keys.unreachable(name, instantOf(from)));
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
    auto &place = m_hosts[static_cast<std::size_t>(to)];
    if (!place.process) {
        refuse(from, memberName(to), between(200us, 2ms));
        return;
    }
    onHost(to, place.incarnation, [this, to, sender, message](entry &process) {
        if (const auto *beat = std::get_if<request::heartbeat>(&message)) {
            auto &heard = process.heard[sender.member];
            if (sender.incarnation >= heard.second) {
                heard = {sender.incarnation > heard.second ? beat->sequence : std::max(heard.first, beat->sequence),
                         sender.incarnation};
            }
            process.decider.heartbeatReceived(*beat, instantOf(to));
        }
        act(to, process, process.keys.receive(sender, message, instantOf(to)));
    });
}

auto fleet_sim::refuse(int from, const core::member_id &to, core::duration delay) -> void
{
    auto &place = m_hosts[static_cast<std::size_t>(from)];
    if (!place.process || to.empty()) {
        return;
    }
    after(delay, [this, from, to, incarnation = place.incarnation, triedAt = m_now] {
        onHost(from, incarnation, [this, from, to, triedAt](entry &process) {
            process.decider.connectionRefused(to, triedAt);
            act(from, process, process.keys.unreachable(to, instantOf(from)));
        });
    });
}

auto fleet_sim::check() -> void
{
    for (const auto &[name, facts] : m_keys) {
        if (facts.starts > 1) {
            problem(name, "started " + std::to_string(facts.starts) + " times");
        }
        if (facts.toldNotRun && facts.starts > 0) {
            problem(name, "told not run, but it started");
        }
    }
    for (const auto &[id, facts] : m_waiters) {
        const auto &place = m_hosts[static_cast<std::size_t>(facts.host)];
        const bool alive = place.process && place.incarnation == facts.incarnation;
        if (alive && facts.answers == 0 && m_now - facts.askedAt > answerBound
            && place.frozenUntil + answerBound < m_now) {
            auto *record = place.process->jobs.find(*request::packKey(core::job_key{facts.key}));
            if (std::getenv("DBG")) {
                printf("state %d work %d target %s.%lu retry %d deadline %ld waiters %zu\n",
                       record ? (int)record->state : -1, record && record->work,
                       record && record->work ? record->work->target.member.str().c_str() : "",
                       record && record->work ? record->work->target.incarnation : 0,
                       record && record->work ? record->work->retry : 0,
                       record && record->work ? record->work->stepDeadline.time_since_epoch().count() / 1000 : 0,
                       record && record->work ? record->work->waiters.size() : 0);
            }
            problem(facts.key, "waiter " + std::to_string(id) + " was never answered");
        }
    }
}
} // namespace tests
