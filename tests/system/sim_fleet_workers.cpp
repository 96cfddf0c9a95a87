#include "sim_fleet.h"

#include <algorithm>

// Worker calls: renew, start and stop.
namespace tests::system_sim
{
namespace
{
constexpr core::duration workerTimeout = std::chrono::milliseconds{900};
constexpr std::int64_t stopTimeMs = 300;
} // namespace

auto sim_fleet::workerDelivery(const fleet_caller &caller, const std::string &address) -> call_delivery
{
    call_delivery delivery;
    delivery.arrives = caller.canReachWorkers();
    const auto *machine = machineAt(address);
    if (machine == nullptr || !isReachable(*machine)) {
        delivery.arrives = false;
        return delivery;
    }
    const auto now = m_network.nowMs();
    if (now < machine->delayedUntil && m_network.randomBool(0.3)) {
        delivery.executionDelay = m_network.randomDuration(200, 7000);
        delivery.answered = false;
    }
    if (now < machine->lostAnswersUntil && m_network.randomBool(0.3)) {
        delivery.answered = false;
    }
    return delivery;
}

// A delayed order is lost if the worker restarts before it is executed.
auto sim_fleet::makeRestartCheck(const call_delivery &delivery, const std::string &address) -> std::function<bool()>
{
    const auto *machine = machineAt(address);
    const auto incarnation = machine == nullptr ? 0 : machine->model->incarnation();
    return [machine, incarnation, delayed = delivery.executionDelay.count() > 0] {
        return delayed && machine->model->incarnation() != incarnation;
    };
}

auto sim_fleet::workersFor(const fleet_caller &caller) -> host::worker_calls
{
    host::worker_calls calls;
    calls.renew = [this, caller](const host::renewal_call &call, std::function<void(host::renewal_answer)> done) {
        const auto delivery = workerDelivery(caller, call.target.address);
        m_network.call<host::renewal_answer>(
            caller.port, delivery, workerTimeout + call.wait, {},
            [this, call, hasRestarted = makeRestartCheck(delivery, call.target.address)](
                std::function<void(host::renewal_answer)> answer) {
                if (!hasRestarted()) {
                    renew(call, std::move(answer));
                }
            },
            std::move(done));
    };
    calls.start = [this, caller](const host::worker_target &target, const jobs::start_order &order,
                                 std::int64_t deadlineMs, std::function<void(host::start_result)> done) {
        const auto delivery = workerDelivery(caller, target.address);
        m_network.call<host::start_result>(
            caller.port, delivery, workerTimeout, jobs::run_start_answer::unknown,
            [this, caller, delivery, target, order, deadlineMs,
             hasRestarted =
                 makeRestartCheck(delivery, target.address)](const std::function<void(host::start_result)> &answer) {
                if (hasRestarted()) {
                    return;
                }
                m_startFromHealthyHost = caller.healthy() && delivery.executionDelay.count() == 0;
                if (const auto made = start(target, order, deadlineMs)) {
                    answer({*made, machineAt(target.address)->model->clockAt(m_network.nowMs())});
                }
            },
            std::move(done));
    };
    calls.stop = [this, caller](const host::worker_target &target, const jobs::stop_order &order,
                                std::function<void(jobs::stop_answer)> done) {
        const auto delivery = workerDelivery(caller, target.address);
        m_network.call<jobs::stop_answer>(
            caller.port, delivery, workerTimeout, jobs::stop_answer::unknown,
            [this, target, order, hasRestarted = makeRestartCheck(delivery, target.address)](
                const std::function<void(jobs::stop_answer)> &answer) {
                const auto made = hasRestarted() ? std::nullopt : stop(target, order);
                if (made) {
                    answer(*made);
                }
            },
            std::move(done));
    };
    calls.pace = [](const host::worker_target &, const jobs::pace_order &, const std::function<void(bool)> &) {
    };
    return calls;
}

auto sim_fleet::renew(const host::renewal_call &call, std::function<void(host::renewal_answer)> answer) -> void
{
    auto *machine = machineAt(call.target.address);
    if (!isReachable(*machine)) {
        return;
    }
    if (machine->worker != call.target.id.str()) {
        answer({host::renewal_outcome::other_instance, {}});
        return;
    }
    const auto now = m_network.nowMs();
    if (!machine->model->renew(call.target.fencingToken, call.acknowledgedEnd, call.deadlineMs, now)) {
        answer({host::renewal_outcome::fenced, {}});
        return;
    }
    if (machine->model->hasUnacknowledgedEnds() || call.wait.count() == 0) {
        answer({host::renewal_outcome::reported, machine->model->report(now)});
        return;
    }
    auto waiting = std::make_shared<sim_machine::waiting_renewal>(
        sim_machine::waiting_renewal{machine->worker, true, std::move(answer)});
    machine->waiting.push_back(waiting);
    m_network.time.after(call.wait, [this, machine, waiting] {
        if (std::exchange(waiting->pending, false) && isReachable(*machine) && machine->worker == waiting->worker) {
            machine->waiting.remove(waiting);
            waiting->answer({host::renewal_outcome::reported, machine->model->report(m_network.nowMs())});
        }
    });
}

auto sim_fleet::start(const host::worker_target &target, const jobs::start_order &order, std::int64_t deadlineMs)
    -> std::optional<jobs::run_start_answer>
{
    auto *machine = machineAt(target.address);
    if (!isReachable(*machine)) {
        return std::nullopt;
    }
    if (machine->worker != target.id.str()) {
        return jobs::run_start_answer::other_instance;
    }
    const auto job = m_rules.trackedJobs().find(order.task.job.str());
    if (job == m_rules.trackedJobs().end()) {
        m_rules.reportViolation("UNASKED", jobs::nameOf(order.task) + " belongs to no submitted job");
        return jobs::run_start_answer::malformed;
    }
    if (job->second.queue.advice && !isValidTicket(order, job->second, machine->worker)) {
        return jobs::run_start_answer::no_ticket;
    }
    const auto &step = job->second.spec.steps[order.task.step];
    fakes::start_command command;
    command.token = target.fencingToken;
    command.task = jobs::nameOf(order.task);
    command.run = order.run;
    command.deadlineMs = deadlineMs;
    command.need = step.perTask;
    command.lengthMs = step.estimate.count() * m_network.randomInteger(70, 140) / 100;
    command.longRunning = step.longRunning;
    command.fails = m_network.nowMs() < machine->failingUntil || job->second.spec.payload == "fails"
        || (!step.longRunning && m_network.randomBool(0.02));
    return machine->model->start(command, m_network.nowMs());
}

auto sim_fleet::isValidTicket(const jobs::start_order &order, const tracked_job &job, const std::string &worker) const
    -> bool
{
    const auto prefix = jobs::stepNameOf(order.task) + "|" + worker + "|";
    if (!order.ticket.starts_with(prefix)) {
        return false;
    }
    const auto issued = std::stoll(order.ticket.substr(prefix.size()));
    return m_network.nowMs() <= issued + job.queue.advice->validity.count();
}

// Availability is recorded by the same criterion as in the worker's report.
auto sim_fleet::recordAvailableTasks(sim_machine &machine) -> void
{
    for (const auto &task : machine.model->runningTasks()) {
        if (machine.model->isReady(task, m_network.nowMs())) {
            m_rules.onAvailable(task);
        }
    }
}

auto sim_fleet::stop(const host::worker_target &target, const jobs::stop_order &order)
    -> std::optional<jobs::stop_answer>
{
    auto *machine = machineAt(target.address);
    if (!isReachable(*machine)) {
        return std::nullopt;
    }
    if (machine->worker != target.id.str()) {
        return jobs::stop_answer::other_instance;
    }
    std::ranges::for_each(m_machines, [this](const auto &other) { recordAvailableTasks(*other); });
    if (isOperational(*machine) && machine->model->runOf(order.task) == order.run) {
        m_rules.onTaskStopOrdered(order.task);
    }
    return machine->model->stop(target.fencingToken, order.task, order.run, m_network.nowMs(),
                                m_network.randomInteger(1, stopTimeMs));
}
} // namespace tests::system_sim
