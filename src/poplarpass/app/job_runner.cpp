#include <poplarpass/app/clock.h>
#include <poplarpass/app/job_runner.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace poplarpass::app
{
namespace
{
constexpr core::duration heldRetryDelay = std::chrono::milliseconds{100};
constexpr core::duration maxHoldTime = std::chrono::seconds{5};

auto monotonicDeadline(core::wall_time deadline, core::monotonic_time now) -> core::monotonic_time
{
    return deadline == core::wall_time{} ? request::noDeadline : now + (deadline - wallNow());
}

auto markUncertainIfStarted(request::job_answer answer, bool mayHaveStarted) -> request::job_answer
{
    if (answer || !mayHaveStarted) {
        return answer;
    }
    return tl::make_unexpected(request::withoutAuthority(std::move(answer.error())));
}
} // namespace

job_runner::job_runner(process_runtime &process, worker_directory &workers)
    : m_process{process}
    , m_workers{workers}
    , m_policy{m_budget}
    , m_alive{std::make_shared<bool>(true)}
{
}

job_runner::~job_runner()
{
    *m_alive = false;
}

auto job_runner::applyConfig(const config::fleet_config &config) -> void
{
    for (const auto &pool : config.pools) {
        auto &queue = poolOf(pool.name).queue;
        for (const auto &team : config.teams) {
            request::team_share share;
            share.weight = team.weight;
            share.maxRunning = static_cast<std::size_t>(std::max(team.quotaSlots, 0));
            queue.setTeamShare(team.name, share);
        }
    }
}

auto job_runner::poolOf(const core::pool_id &pool) -> pool_state &
{
    const auto limit = static_cast<std::size_t>(m_process.settings.limits.maxQueue);
    return m_pools.try_emplace(pool, limit).first->second;
}

auto job_runner::find(request::ticket_id ticket) -> job *
{
    const auto found = m_jobs.find(ticket);
    return found == m_jobs.end() ? nullptr : &found->second;
}

auto job_runner::checkPlaceable(const request::job_spec &spec, const request::work_estimate &estimate) const
    -> core::result<void>
{
    const request::placement_query query{estimate.cores, estimate.memoryMb, m_process.settings.process.zone, nullptr};
    if (!m_workers.fitsAnyWorker(spec.pool, query)) {
        return core::failure(core::error_kind::unplaceable,
                             "no host of pool " + spec.pool.str() + " has " + std::to_string(estimate.cores)
                                 + " cores and " + std::to_string(estimate.memoryMb) + " MB");
    }
    return {};
}

auto job_runner::submit(std::shared_ptr<const request::job_spec> spec, job_hooks hooks)
    -> core::result<request::ticket_id>
{
    const auto now = monotonicNow();
    const auto estimate = m_estimator.estimate(spec->kind, spec->declaredRunTime, spec->cores, spec->memoryMb);
    if (auto placeable = checkPlaceable(*spec, estimate); !placeable) {
        return tl::make_unexpected(placeable.error());
    }
    auto &pool = poolOf(spec->pool);
    ++pool.arrivals;
    request::admission_request admission;
    admission.ticket = m_lastTicket + 1;
    admission.team = spec->team;
    admission.level = spec->level;
    admission.expected = estimate.typical;
    admission.deadline = monotonicDeadline(spec->deadline, now);
    updateCapacity(spec->pool, pool);
    if (auto admitted = pool.queue.submit(admission, now); !admitted) {
        return tl::make_unexpected(admitted.error());
    }
    job added;
    added.ticket = ++m_lastTicket;
    added.taskId = spec->key.str();
    added.hooks = std::move(hooks);
    added.history.idempotent = spec->idempotent;
    added.estimate = estimate;
    added.submittedAt = now;
    added.deadline = admission.deadline;
    added.span =
        m_process.traces.start("job", observe::span_kind::internal, observe::parseTraceparent(spec->traceparent));
    added.span.setAttribute({"pool", spec->pool.str()});
    added.spec = std::move(spec);
    m_jobs.emplace(added.ticket, std::move(added));
    boost::asio::post(m_process.loop, [this, alive = m_alive] {
        if (*alive) {
            pump();
        }
    });
    return m_lastTicket;
}

auto job_runner::withdraw(request::ticket_id ticket) -> bool
{
    auto *target = find(ticket);
    if (target == nullptr || !poolOf(target->spec->pool).queue.cancel(ticket)) {
        return false;
    }
    m_jobs.erase(ticket);
    return true;
}

auto job_runner::stop(request::ticket_id ticket) -> void
{
    auto *target = find(ticket);
    if (target == nullptr) {
        return;
    }
    target->stopping = true;
    for (const auto &sent : target->openAttempts) {
        m_process.workers.command(m_workers.addressOf(sent.host), target->taskId, platform::task_command::stop,
                                  [](const core::result<platform::task_report> &) {});
    }
}

auto job_runner::pump() -> void
{
    // Placing a job may finish it at once, which requires another pass.
    m_pumpAgain = true;
    if (m_pumping) {
        return;
    }
    m_pumping = true;
    releaseHeld();
    while (std::exchange(m_pumpAgain, false)) {
        for (auto &[name, pool] : m_pools) {
            pumpPool(name, pool);
        }
    }
    m_pumping = false;
}

auto job_runner::updateCapacity(const core::pool_id &name, pool_state &pool) -> void
{
    const auto slots = m_workers.freeSlots(name) + static_cast<int>(pool.queue.running());
    pool.queue.setCapacity(slots);
    if (slots <= 0) {
        pool.queue.setExpectedSlotWait(m_workers.hasPendingFirstLease(name) ? request::leaseRequestTimeout
                                                                            : request::noSlotsWait);
    }
}

auto job_runner::pumpPool(const core::pool_id &name, pool_state &pool) -> void
{
    if (pool.queue.queued() == 0) {
        return;
    }
    expire(pool);
    const auto now = monotonicNow();
    updateCapacity(name, pool);
    for (;;) {
        const auto ticket = pool.queue.next(m_workers.freeSlots(name), now);
        if (!ticket) {
            break;
        }
        auto *target = find(*ticket);
        if (target == nullptr) {
            pool.queue.finished(*ticket);
            continue;
        }
        const auto placed = place(*target);
        if (placed == placement_result::no_worker) {
            pool.queue.requeue(*ticket, now);
            break;
        }
        if (placed == placement_result::held) {
            hold(*target);
        }
    }
    preemptBatchJobs(name, pool);
}

auto job_runner::expire(pool_state &pool) -> void
{
    for (const auto ticket : pool.queue.expire(monotonicNow())) {
        finish(ticket, core::failure(core::error_kind::deadline_passed));
    }
}

auto job_runner::preemptBatchJobs(const core::pool_id &name, pool_state &pool) -> void
{
    for (const auto ticket : pool.queue.preemptBatchJobs(m_workers.freeSlots(name), monotonicNow())) {
        auto *target = find(ticket);
        // Only idempotent jobs are checkpointed, because they are started again afterwards.
        if (target == nullptr || target->openAttempts.size() != 1 || !target->history.idempotent) {
            pool.queue.preemptionFailed(ticket);
            continue;
        }
        target->preempting = true;
        m_process.workers.command(m_workers.addressOf(target->openAttempts.front().host), target->taskId,
                                  platform::task_command::checkpoint,
                                  [](const core::result<platform::task_report> &) {});
    }
}

auto job_runner::queryOf(const job &target) const -> request::placement_query
{
    return {target.estimate.cores, target.estimate.memoryMb, m_process.settings.process.zone,
            target.avoidedHost ? &*target.avoidedHost : nullptr};
}

auto job_runner::place(job &target) -> placement_result
{
    const auto choice = m_workers.choose(target.spec->pool, queryOf(target));
    if (!choice) {
        return placement_result::no_worker;
    }
    if (!target.mayHaveStarted) {
        if (const auto allowed = target.hooks.beginAttempt(); !allowed) {
            return placement_result::held;
        }
    }
    send(target, *choice);
    return placement_result::sent;
}

// A job that this process may not start at present is removed from the queue, so that it does not block other jobs.
auto job_runner::hold(job &target) -> void
{
    const auto now = monotonicNow();
    poolOf(target.spec->pool).queue.finished(target.ticket);
    target.heldSince = target.heldSince.value_or(now);
    m_held.push_back({target.ticket, now + heldRetryDelay});
}

auto job_runner::releaseHeld() -> void
{
    const auto now = monotonicNow();
    while (!m_held.empty() && m_held.front().due <= now) {
        const auto ticket = m_held.front().ticket;
        m_held.pop_front();
        auto *target = find(ticket);
        if (target == nullptr) {
            continue;
        }
        if (now - *target->heldSince > maxHoldTime) {
            finish(ticket, core::failure(core::error_kind::worker_unavailable, "the right to start it has lapsed"));
            continue;
        }
        const auto &spec = *target->spec;
        const request::admission_request admission{ticket, spec.team, spec.level, target->estimate.typical,
                                                   target->deadline};
        if (const auto admitted = poolOf(spec.pool).queue.submit(admission, now); !admitted) {
            finish(ticket, tl::make_unexpected(admitted.error()));
        }
    }
}

auto job_runner::finish(request::ticket_id ticket, request::job_answer answer) -> void
{
    const auto found = m_jobs.find(ticket);
    if (found == m_jobs.end()) {
        return;
    }
    auto ended = std::move(found->second);
    m_jobs.erase(found);
    poolOf(ended.spec->pool).queue.finished(ticket);
    for (const auto &open : ended.openAttempts) {
        m_matcher.abandon(open.id);
        if (answer) {
            m_process.workers.command(m_workers.addressOf(open.host), ended.taskId, platform::task_command::stop,
                                      [](const core::result<platform::task_report> &) {});
        }
    }
    if (!answer) {
        ended.span.setError(core::errorSpecOf(answer.error().kind).name);
    }
    ended.span.end();
    ended.hooks.done(markUncertainIfStarted(std::move(answer), ended.mayHaveStarted));
    m_pumpAgain = true;
    if (!m_pumping) {
        pump();
    }
}

auto job_runner::demand() const -> std::vector<request::pool_demand>
{
    std::vector<request::pool_demand> demands;
    demands.reserve(m_pools.size());
    for (const auto &[name, pool] : m_pools) {
        demands.push_back({name, pool.queue.queued(), pool.queue.running(), pool.arrivals});
    }
    return demands;
}

auto job_runner::activeCount() const -> std::size_t
{
    return m_jobs.size();
}
} // namespace poplarpass::app
