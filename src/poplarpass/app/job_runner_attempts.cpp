#include <poplarpass/app/clock.h>
#include <poplarpass/app/job_runner.h>

#include <algorithm>
#include <utility>

// Attempts to run a job on workers: sending, answers, retries and hedges.
namespace poplarpass::app
{
namespace
{
constexpr core::duration maxAttemptTime = std::chrono::hours{12};
constexpr core::duration answerGrace = std::chrono::seconds{1};
} // namespace

auto job_runner::send(job &target, const worker_choice &choice) -> void
{
    const auto now = monotonicNow();
    const auto &spec = *target.spec;
    attempt sent{target.taskId + '.' + std::to_string(++m_lastAttempt),
                 choice.host,
                 {now, choice.lease.expiry, choice.lease.bootId}};
    if (target.history.sent == 0) {
        m_policy.recordFirstAttempt();
        m_process.metrics
            .histogramOf("poplarpass_start_wait_seconds", "From the arrival of a job to its first start",
                         {{"level", std::to_string(static_cast<int>(spec.level))}})
            .record(now - target.submittedAt);
    }
    ++target.history.sent;
    ++target.history.open;
    target.mayHaveStarted = true;
    target.openAttempts.push_back(sent);
    m_matcher.open(target.taskId, sent.id);
    m_workers.recordSent(spec.pool, choice.host, now);
    platform::start_request start;
    start.taskId = target.taskId;
    start.attemptId = sent.id;
    start.leaseId = choice.lease.leaseId;
    start.pool = spec.pool;
    start.kind = spec.kind;
    start.declaredRunTime = spec.declaredRunTime;
    start.cores = spec.cores;
    start.memoryMb = spec.memoryMb;
    start.payload = spec.payload;
    auto hop = std::make_shared<observe::span>(
        m_process.traces.start("start on worker", observe::span_kind::client, target.span.context()));
    hop->setAttribute({"host", choice.host.str()});
    start.traceparent = observe::formatTraceparent(hop->context());
    const auto timeout = target.deadline == request::noDeadline ? maxAttemptTime : target.deadline - now + answerGrace;
    m_process.workers.start(
        choice.address, std::move(start), timeout,
        [this, alive = m_alive, ticket = target.ticket, sent, hop](const platform::start_response &answer) {
            hop->end();
            if (*alive) {
                handleAttemptEnd(ticket, sent, answer);
            }
        });
    scheduleHedge(target.ticket);
}

auto job_runner::handleAttemptEnd(request::ticket_id ticket, const attempt &sent,
                                  const platform::start_response &answer) -> void
{
    auto *target = find(ticket);
    if (target == nullptr) {
        m_matcher.abandon(sent.id);
        return;
    }
    const bool isAnswer = answer.outcome != platform::start_outcome::uncertain;
    const bool isOwn = !isAnswer || m_matcher.match(sent.id, answer) == request::answer_match::own;
    auto effectiveAnswer = answer;
    if (!isOwn) {
        effectiveAnswer = platform::start_response{};
    } else if (!isAnswer) {
        m_matcher.abandon(sent.id);
    }
    m_workers.recordEnded(target->spec->pool, sent.host, sent.start.sentAt, target->spec->kind, effectiveAnswer);
    std::erase_if(target->openAttempts, [&sent](const attempt &open) { return open.id == sent.id; });
    --target->history.open;
    if (effectiveAnswer.outcome == platform::start_outcome::failed) {
        ++target->history.failures;
    }
    if (effectiveAnswer.outcome == platform::start_outcome::not_started && target->history.open == 0
        && target->history.sent == 1) {
        target->mayHaveStarted = false;
        target->history.sent = 0;
        target->hooks.attemptNotStarted();
    }
    if (effectiveAnswer.outcome == platform::start_outcome::finished) {
        request::answer_matcher::requireOwn(target->taskId, effectiveAnswer);
        m_estimator.recordRunTime(target->spec->kind, effectiveAnswer.runTime);
    }
    if (target->preempting && effectiveAnswer.outcome == platform::start_outcome::stopped && !target->stopping) {
        target->preempting = false;
        target->history.sent = 0;
        requeue(*target);
        return;
    }
    target->avoidedHost = sent.host;
    applyDecision(ticket, m_policy.afterAnswer(target->history, effectiveAnswer), sent);
}

auto job_runner::applyDecision(request::ticket_id ticket, const request::attempt_decision &decision,
                               const attempt &sent) -> void
{
    auto *target = find(ticket);
    if (target == nullptr) {
        return;
    }
    switch (decision.step) {
    case request::attempt_step::finish:
        finish(ticket, decision.answer);
        break;
    case request::attempt_step::resend:
        resend(*target);
        break;
    case request::attempt_step::requeue:
        requeue(*target);
        break;
    case request::attempt_step::wait:
        break;
    case request::attempt_step::query_worker:
        queryWorker(ticket, sent);
        break;
    }
}

auto job_runner::resend(job &target) -> void
{
    switch (place(target)) {
    case placement_result::sent:
        break;
    case placement_result::no_worker:
        requeue(target);
        break;
    case placement_result::held:
        hold(target);
        break;
    }
}

auto job_runner::queryWorker(request::ticket_id ticket, const attempt &sent) -> void
{
    auto *target = find(ticket);
    if (target == nullptr) {
        return;
    }
    const auto now = monotonicNow();
    if (!target->queryUntil) {
        target->queryUntil = std::max(sent.start.leaseEnd, now) + request::workerLeaseTerm;
    }
    m_process.workers.query(m_workers.addressOf(sent.host), target->taskId,
                            [this, alive = m_alive, ticket, sent](const core::result<platform::task_report> &report) {
                                if (*alive) {
                                    handleWorkerReport(ticket, sent, report);
                                }
                            });
}

auto job_runner::handleWorkerReport(request::ticket_id ticket, const attempt &sent,
                                    const core::result<platform::task_report> &report) -> void
{
    auto *target = find(ticket);
    if (target == nullptr) {
        return;
    }
    const auto now = monotonicNow();
    request::attempt_decision decision;
    decision.step = request::attempt_step::query_worker;
    if (report) {
        decision = m_policy.afterReport(target->history, sent.start, *report, now);
        target->queryUntil.reset();
    } else if (target->queryUntil && now > *target->queryUntil) {
        decision = m_policy.afterNoReport(target->history);
    }
    const bool provenNotStarted =
        decision.step == request::attempt_step::resend || decision.step == request::attempt_step::requeue;
    if (provenNotStarted && !target->history.idempotent) {
        target->mayHaveStarted = false;
        target->history.sent = 0;
        target->hooks.attemptNotStarted();
    }
    if (decision.step != request::attempt_step::query_worker) {
        applyDecision(ticket, decision, sent);
        return;
    }
    callAfter(m_process.loop, request::jobQueryInterval, [this, alive = m_alive, ticket, sent] {
        if (*alive) {
            queryWorker(ticket, sent);
        }
    });
}

auto job_runner::scheduleHedge(request::ticket_id ticket) -> void
{
    const auto *target = find(ticket);
    const auto typical = target->estimate.observed ? target->estimate.high : core::duration{0};
    const auto delay = request::attempt_policy::hedgeDelay(target->history, typical);
    // A hedge of a long job would occupy two slots; a batch job can wait for its first attempt.
    if (!delay || target->spec->level == request::urgency::batch || target->history.sent > 1) {
        return;
    }
    callAfter(m_process.loop, *delay, [this, alive = m_alive, ticket] {
        if (*alive) {
            hedge(ticket);
        }
    });
}

auto job_runner::hedge(request::ticket_id ticket) -> void
{
    auto *target = find(ticket);
    if (target == nullptr || target->openAttempts.size() != 1 || target->stopping
        || !m_policy.tryReserveHedge(target->history)) {
        return;
    }
    target->avoidedHost = target->openAttempts.front().host;
    if (const auto choice = m_workers.choose(target->spec->pool, queryOf(*target))) {
        send(*target, *choice);
    }
}

auto job_runner::requeue(job &target) -> void
{
    poolOf(target.spec->pool).queue.requeue(target.ticket, monotonicNow());
}
} // namespace poplarpass::app
