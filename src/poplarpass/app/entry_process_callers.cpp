#include <poplarpass/app/clock.h>
#include <poplarpass/app/entry_process.h>

#include <algorithm>
#include <charconv>
#include <utility>

// Requests of callers and their answers.
namespace poplarpass::app
{
namespace
{
constexpr core::duration defaultQueryWait = std::chrono::seconds{1};
constexpr std::int64_t maxQueryWaitMs = 600'000;
constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::string_view jobPrefix = "/v1/jobs/";

auto waitOf(const net::http_request &message) -> core::duration
{
    const auto text = message.query("wait_ms");
    std::int64_t milliseconds = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), milliseconds).ec != std::errc{}) {
        return defaultQueryWait;
    }
    return std::chrono::milliseconds{std::clamp<std::int64_t>(milliseconds, 0, maxQueryWaitMs)};
}
} // namespace

auto entry_process::handleRequest(const net::http_request &message, const std::shared_ptr<net::responder> &caller)
    -> void
{
    const auto path = message.path();
    if (path == jobsPath && message.method == "POST") {
        submit(message, caller);
        return;
    }
    if (path.starts_with(jobPrefix)) {
        const core::job_key key{net::percentDecode(path.substr(jobPrefix.size()))};
        if (message.method == "GET") {
            queryJob(message, key, caller);
            return;
        }
        if (message.method == "DELETE") {
            cancel(key, caller);
            return;
        }
    }
    caller->respond(errorResponse({}, {core::error_kind::invalid_request, "no such path or method", {}}));
}

auto entry_process::addCaller(const core::job_key &key, const std::shared_ptr<net::responder> &responder, bool isCancel)
    -> request::waiter_id
{
    const auto waiter = ++m_lastWaiter;
    m_callers[waiter] = {key, responder, monotonicNow(), {}, isCancel};
    responder->onDisconnect([this, waiter] {
        if (const auto found = m_callers.find(waiter); found != m_callers.end()) {
            m_keys.removeWaiter(found->second.key, waiter);
            m_callers.erase(found);
        }
    });
    return waiter;
}

auto entry_process::submit(const net::http_request &message, const std::shared_ptr<net::responder> &caller) -> void
{
    if (!m_fleetLog.follower().hasState()) {
        caller->respond(errorResponse({}, {core::error_kind::home_unreachable, "no configuration is known yet", {}}));
        return;
    }
    auto submission = parseSubmission(message, {m_fleetLog.state().config(), wallNow()});
    if (!submission) {
        caller->respond(errorResponse({}, submission.error()));
        return;
    }
    const auto incoming = observe::parseTraceparent(submission->spec.traceparent);
    auto hop = m_process.traces.start("POST /v1/jobs", observe::span_kind::server, incoming);
    submission->spec.traceparent = observe::formatTraceparent(hop.context());
    const bool direct = submission->spec.idempotent && submission->spec.key.empty() && submission->wait;
    if (submission->spec.key.empty()) {
        submission->spec.key = request::makeUuid7(wallNow(), m_process.random);
    }
    if (direct) {
        submitDirect(*std::move(submission), caller);
    } else {
        submitKeyed(*submission, caller);
    }
    if (const auto found = m_callers.find(m_lastWaiter); found != m_callers.end()) {
        found->second.span = std::move(hop);
    }
}

// No other request can refer to an idempotent job without a caller's key, so no other entry needs a record of it.
auto entry_process::submitDirect(job_submission submission, const std::shared_ptr<net::responder> &caller) -> void
{
    const auto key = submission.spec.key;
    const auto deadline = submission.spec.deadline;
    const auto waiter = addCaller(key, caller, false);
    job_hooks hooks;
    hooks.beginAttempt = [] {
        return core::result<void>{};
    };
    hooks.attemptNotStarted = [] {
    };
    hooks.done = [this, waiter, key](const request::job_answer &answer) {
        answerCaller(waiter, answerResponse(key, answer),
                     answer ? "finished" : core::errorSpecOf(answer.error().kind).name);
    };
    const auto spec = std::make_shared<const request::job_spec>(std::move(submission.spec));
    if (const auto queued = m_runner.submit(spec, std::move(hooks)); !queued) {
        answerCaller(waiter, errorResponse(key, queued.error()), core::errorSpecOf(queued.error().kind).name);
    } else if (deadline != core::wall_time{}) {
        scheduleDeadlineAnswer(waiter, deadline - wallNow());
    }
}

auto entry_process::submitKeyed(const job_submission &submission, const std::shared_ptr<net::responder> &caller) -> void
{
    const auto &spec = submission.spec;
    const auto waiter = addCaller(spec.key, caller, false);
    execute(m_keys.submit(spec, waiter, now()));
    const auto found = m_callers.find(waiter);
    if (found == m_callers.end()) {
        return;
    }
    if (!submission.wait) {
        m_keys.removeWaiter(spec.key, waiter);
        answerCaller(waiter, pendingResponse(spec.key), "pending");
    } else if (spec.deadline != core::wall_time{}) {
        scheduleDeadlineAnswer(waiter, spec.deadline - wallNow());
    }
}

auto entry_process::queryJob(const net::http_request &message, const core::job_key &key,
                             const std::shared_ptr<net::responder> &caller) -> void
{
    const auto waiter = addCaller(key, caller, false);
    const auto wait = waitOf(message);
    execute(m_keys.requestAnswer(key, waiter, now()));
    callAfter(m_process.loop, wait, [this, waiter, key] {
        if (m_callers.contains(waiter)) {
            m_keys.removeWaiter(key, waiter);
            answerCaller(waiter, pendingResponse(key), "pending");
        }
    });
}

auto entry_process::cancel(const core::job_key &key, const std::shared_ptr<net::responder> &caller) -> void
{
    const auto waiter = addCaller(key, caller, true);
    execute(m_keys.cancel(key, waiter, now()));
}

// At the deadline the job may be queued, running or finished, so the caller is sent outcome_unknown.
auto entry_process::scheduleDeadlineAnswer(request::waiter_id waiter, core::duration delay) -> void
{
    callAfter(m_process.loop, std::max(delay, core::duration{0}), [this, waiter] {
        const auto found = m_callers.find(waiter);
        if (found == m_callers.end()) {
            return;
        }
        const auto key = found->second.key;
        m_keys.removeWaiter(key, waiter);
        const core::error problem{core::error_kind::outcome_unknown, "no answer before the deadline", {}};
        answerCaller(waiter, errorResponse(key, problem), "outcome_unknown");
    });
}

auto entry_process::answerCaller(request::waiter_id waiter, const net::http_response &response, std::string_view result)
    -> void
{
    const auto found = m_callers.find(waiter);
    if (found == m_callers.end()) {
        return;
    }
    auto answered = std::move(found->second);
    m_callers.erase(found);
    auto &metrics = m_process.metrics;
    metrics.counterOf("poplarpass_answers_total", "Answers to callers", {{"result", std::string{result}}}).add();
    metrics.histogramOf("poplarpass_request_seconds", "From a request's arrival to its answer")
        .record(monotonicNow() - answered.arrivedAt);
    m_process.log.log(observe::log_level::debug, "answer", {{"key", answered.key.str()}, {"result", result}});
    answered.span.setAttribute({"http.status_code", response.status});
    answered.responder->respond(response);
}
} // namespace poplarpass::app
