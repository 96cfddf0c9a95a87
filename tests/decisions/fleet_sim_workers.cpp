#include "fleet_sim.h"

using namespace std::chrono_literals;

namespace tests
{
namespace
{
const core::pool_id pool{"searches"};

auto workerName(int index) -> core::host_id
{
    return core::host_id{"worker-" + std::to_string(index)};
}
} // namespace

auto fleet_sim::tryStart(int index, entry &process, const request::packed_key &key) -> void
{
    auto &state = process.attempts[key];
    if (state.completed || state.open) {
        return;
    }
    if (m_now > state.startDeadline) {
        state.completed = true;
        execute(index, process,
                process.keys.complete(key, core::failure(core::error_kind::worker_unavailable), instantOf(index)));
        return;
    }
    state.worker = static_cast<int>(m_random() % m_workers.size());
    const auto lease = process.leases.usable(workerName(state.worker), pool, 1, m_now);
    const auto retry = [this, index, key, incarnation = process.authority.self().incarnation](core::duration delay) {
        after(delay, [this, index, key, incarnation] {
            onHost(index, incarnation, [this, index, key](entry &current) { tryStart(index, current, key); });
        });
    };
    if (!lease) {
        requestLease(index, process, state.worker);
        retry(20ms);
        return;
    }
    const auto attempt = process.keys.beginAttempt(key, instantOf(index));
    if (!attempt) {
        state.completed = attempt.error().kind == core::error_kind::cancelled;
        retry(100ms);
        return;
    }
    state.sent = {m_now, lease->expiry, lease->bootId};
    sendStart(index, process, key, lease->leaseId);
}

auto fleet_sim::requestLease(int index, entry &process, int target) -> void
{
    if (!process.leases.renewalDue(workerName(target), m_now)) {
        return;
    }
    process.leases.requestSent(workerName(target), m_now);
    const auto incarnation = process.authority.self().incarnation;
    after(between(200us, 2ms), [this, index, incarnation, target, sentAt = m_now] {
        auto &granter = m_workers[static_cast<std::size_t>(target)];
        if (m_now < granter.downUntil) {
            return;
        }
        platform::lease_response report;
        report.leaseId = ++granter.lastLease;
        report.leaseTerm = request::workerLeaseTerm;
        report.bootId = granter.boot;
        report.pool = pool;
        report.generation = 1;
        granter.leases[report.leaseId] = m_now + request::workerLeaseTerm;
        after(chance(0.05) ? between(0ms, 4s) : between(200us, 2ms),
              [this, index, incarnation, target, sentAt, report] {
                  onHost(index, incarnation, [target, sentAt, report](entry &current) {
                      current.leases.granted(workerName(target), report, sentAt);
                  });
              });
    });
}

// The start may be sent long after the decision, as when the process freezes before the write.
auto fleet_sim::sendStart(int index, entry &process, const request::packed_key &key, std::uint64_t lease) -> void
{
    auto &state = process.attempts[key];
    state.open = true;
    const auto number = ++state.number;
    ++state.history.sent;
    const auto incarnation = process.authority.self().incarnation;
    const auto target = state.worker;
    const auto delay = m_options.faults && chance(0.03) ? between(0ms, 30s) : between(200us, 2ms);
    after(delay, [this, index, incarnation, key, number, target, lease] {
        startReceived(index, incarnation, key, number, target, lease);
    });
    after(2s, [this, index, incarnation, key, number] {
        platform::start_response timedOut;
        answerReceived(index, incarnation, key, number, timedOut);
    });
}

auto fleet_sim::startReceived(int index, std::uint64_t incarnation, const request::packed_key &key, int number,
                              int target, std::uint64_t lease) -> void
{
    auto &runner = m_workers[static_cast<std::size_t>(target)];
    const auto name = request::unpackKey(key).str();
    platform::start_response answer;
    answer.outcome = platform::start_outcome::not_started;
    const auto sendAnswer = [this, index, incarnation, key, number](const platform::start_response &result,
                                                                    core::duration delay) {
        if (!m_options.faults || chance(0.97)) {
            after(delay, [this, index, incarnation, key, number, result] {
                answerReceived(index, incarnation, key, number, result);
            });
        }
    };
    const auto grant = runner.leases.find(lease);
    if (m_now < runner.downUntil) {
        answer.reason = platform::rejection::unreachable;
    } else if (grant == runner.leases.end() || m_now >= grant->second) {
        answer.reason = platform::rejection::lease_lapsed;
    } else if (runner.tasks.contains(name)) {
        answer.reason = platform::rejection::duplicate;
    } else if (m_options.faults && chance(0.1)) {
        answer.reason = platform::rejection::no_slot;
    } else {
        ++m_keys[name].starts;
        trace(name,
              "started by " + std::to_string(index) + "." + std::to_string(incarnation) + " on worker "
                  + std::to_string(target));
        runner.tasks[name] = {};
        const auto runTime = between(2ms, 400ms);
        after(runTime, [this, target, name, sendAnswer, boot = runner.boot] {
            auto &host = m_workers[static_cast<std::size_t>(target)];
            if (host.boot != boot) {
                return;
            }
            auto &job = host.tasks[name];
            platform::start_response result;
            const bool stopped = job.state == platform::worker_task_state::stopped;
            job.state = stopped ? job.state : platform::worker_task_state::finished;
            result.outcome = stopped ? platform::start_outcome::stopped : platform::start_outcome::finished;
            result.payload = "output of " + name;
            sendAnswer(result, between(200us, 2ms));
        });
        return;
    }
    sendAnswer(answer, between(200us, 2ms));
}

auto fleet_sim::answerReceived(int index, std::uint64_t incarnation, const request::packed_key &key, int number,
                               const platform::start_response &answer) -> void
{
    onHost(index, incarnation, [this, index, key, number, answer](entry &process) {
        auto &state = process.attempts[key];
        if (state.completed || !state.open || state.number != number) {
            return;
        }
        state.open = false;
        applyDecision(index, process, key, process.policy.afterAnswer(state.history, answer));
    });
}

auto fleet_sim::applyDecision(int index, entry &process, const request::packed_key &key,
                              const request::attempt_decision &decision) -> void
{
    auto &state = process.attempts[key];
    const auto incarnation = process.authority.self().incarnation;
    switch (decision.step) {
    case request::attempt_step::finish:
        state.completed = true;
        if (request::runStateOf(decision.answer) == core::run_state::not_run) {
            process.keys.attemptNotStarted(key);
        }
        execute(index, process, process.keys.complete(key, decision.answer, instantOf(index)));
        return;
    case request::attempt_step::resend:
    case request::attempt_step::requeue:
        process.keys.attemptNotStarted(key);
        after(20ms, [this, index, incarnation, key] {
            onHost(index, incarnation, [this, index, key](entry &current) { tryStart(index, current, key); });
        });
        return;
    case request::attempt_step::wait:
    case request::attempt_step::query_worker:
        after(200ms, [this, index, incarnation, key] {
            onHost(index, incarnation, [this, index, key](entry &current) { queryWorker(index, current, key); });
        });
        return;
    }
}

auto fleet_sim::queryWorker(int index, entry &process, const request::packed_key &key) -> void
{
    auto &state = process.attempts[key];
    const auto &target = m_workers[static_cast<std::size_t>(state.worker)];
    if (m_now < target.downUntil) {
        applyDecision(index, process, key, process.policy.afterNoReport(state.history));
        return;
    }
    platform::task_report report;
    report.bootId = target.boot;
    const auto found = target.tasks.find(request::unpackKey(key).str());
    if (found != target.tasks.end()) {
        report.state = found->second.state;
        report.payload = "output of " + found->first;
    }
    applyDecision(index, process, key, process.policy.afterReport(state.history, state.sent, report, m_now));
}

auto fleet_sim::stopTask(const request::packed_key &key, int target) -> void
{
    auto &runner = m_workers[static_cast<std::size_t>(target)];
    const auto found = runner.tasks.find(request::unpackKey(key).str());
    if (found != runner.tasks.end() && found->second.state == platform::worker_task_state::running) {
        found->second.state = platform::worker_task_state::stopped;
    }
}
} // namespace tests
