#include <poplarpass/core/invariant.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>
#include <string>
#include <utility>

namespace poplarpass::request
{
namespace
{
auto shared(core::error_kind kind, std::string_view detail) -> shared_answer
{
    return std::make_shared<const job_answer>(core::failure(kind, std::string{detail}));
}

// A key with a future mint time becomes valid later, so its refusal must not mean "not run" either.
auto checkAge(const packed_key &key, core::wall_time wall) -> std::optional<core::error>
{
    const auto minted = mintTimeOf(key);
    if (minted > wall + callerClockSkew) {
        return core::error{core::error_kind::outcome_unknown, "the key was minted in the future", std::nullopt};
    }
    if (minted + keyLifetime < wall) {
        return core::error{core::error_kind::key_expired, {}, std::nullopt};
    }
    return std::nullopt;
}
} // namespace

key_authority::key_authority(authority &memberAuthority, job_table &jobs)
    : m_authority{memberAuthority}
    , m_jobs{jobs}
{
}

auto key_authority::submit(const job_spec &spec, waiter_id requester, instant at) -> key_actions
{
    key_actions out;
    const auto key = packKey(spec.key);
    if (!key) {
        out.emplace_back(
            answer_action{requester, std::make_shared<const job_answer>(tl::make_unexpected(key.error()))});
        return out;
    }
    const auto record = admit(*key, digestOf(spec), at);
    if (!record) {
        out.emplace_back(
            answer_action{requester, std::make_shared<const job_answer>(tl::make_unexpected(record.error()))});
        return out;
    }
    key_context ctx{*key, **record, at, out};
    if (ctx.record.state == key_state::answered) {
        answerWaiter(ctx, requester, ctx.record.answer);
        return out;
    }
    addWaiter(ctx, std::make_shared<const job_spec>(spec), requester, 0);
    return out;
}

auto key_authority::removeWaiter(const core::job_key &key, waiter_id requester) -> void
{
    const auto packed = packKey(key);
    auto *record = packed ? m_jobs.find(*packed) : nullptr;
    if (record != nullptr && record->inFlight) {
        std::erase(record->inFlight->waiters, waiter{requester});
    }
}

auto key_authority::receive(const member_ref &from, const peer_message &message, instant at) -> key_actions
{
    key_actions out;
    reachable(from.member);
    if (const auto *grant = std::get_if<grant_request>(&message)) {
        onGrantRequest(from, *grant, at, out);
    } else if (const auto *promise = std::get_if<promise_request>(&message)) {
        onPromiseRequest(from, *promise, at, out);
    } else if (const auto *query = std::get_if<job_query>(&message)) {
        onJobQuery(from, *query, at, out);
    } else if (const auto *delegation = std::get_if<delegate>(&message)) {
        onDelegate(from, *delegation, at, out);
    } else if (const auto *cancellation = std::get_if<cancel_request>(&message)) {
        onCancelRequest(from, *cancellation, at, out);
    } else if (const auto *transfer = std::get_if<handover>(&message)) {
        onHandover(from, *transfer, at, out);
    } else {
        dispatchReply(from, message, at, out);
    }
    return out;
}

auto key_authority::reachable(const core::member_id &member) -> void
{
    m_unreachable.erase(member);
}

auto key_authority::unreachable(const core::member_id &member, instant at) -> key_actions
{
    key_actions out;
    m_unreachable.insert(member);
    for (const auto &key : activeKeys()) {
        auto *record = m_jobs.find(key);
        key_context ctx{key, *record, at, out};
        handleUnreachable(ctx, member);
    }
    return out;
}

auto key_authority::advance(instant at) -> key_actions
{
    key_actions out;
    if (m_lastEpoch != m_authority.activeMembership().epoch) {
        m_lastEpoch = m_authority.activeMembership().epoch;
        restartUndecided(at, out);
    }
    while (!m_timers.empty() && m_timers.top().due <= at.now) {
        const auto due = m_timers.top();
        m_timers.pop();
        auto *record = m_jobs.find(due.key);
        if (record != nullptr && record->inFlight && record->inFlight->stepDeadline == due.due) {
            key_context ctx{due.key, *record, at, out};
            handleTimeout(ctx);
        }
    }
    expireLookups(at, out);
    m_jobs.expire(at.wall);
    return out;
}

auto key_authority::nextTimer() const -> std::optional<core::monotonic_time>
{
    std::optional<core::monotonic_time> earliest;
    if (!m_timers.empty()) {
        earliest = m_timers.top().due;
    }
    for (const auto &[correlation, lookup] : m_lookups) {
        earliest = earliest ? std::min(*earliest, lookup.deadline) : lookup.deadline;
    }
    return earliest;
}

auto key_authority::beginAttempt(const packed_key &key, instant at) -> core::result<void>
{
    auto *record = m_jobs.find(key);
    if (record == nullptr || record->state != key_state::in_progress) {
        return core::failure(core::error_kind::cancelled, "the job is not in progress here");
    }
    if (!m_authority.mayAct(at.now)) {
        return core::failure(core::error_kind::authority_lapsed);
    }
    m_jobs.openAttempt(key, *record);
    return {};
}

auto key_authority::attemptNotStarted(const packed_key &key) -> void
{
    if (auto *record = m_jobs.find(key); record != nullptr) {
        m_jobs.closeAttempt(*record);
    }
}

auto key_authority::complete(const packed_key &key, job_answer answer, instant at) -> key_actions
{
    key_actions out;
    auto *record = m_jobs.find(key);
    if (record == nullptr) {
        return out;
    }
    key_context ctx{key, *record, at, out};
    resolve(ctx, std::make_shared<const job_answer>(std::move(answer)));
    return out;
}

auto key_authority::activeCount() const -> std::size_t
{
    return m_active.size() + m_lookups.size();
}

auto key_authority::admit(const packed_key &key, std::uint64_t digest, instant at) -> core::result<job_record *>
{
    auto *record = m_jobs.find(key);
    if (record == nullptr) {
        if (auto problem = checkAge(key, at.wall)) {
            return tl::make_unexpected(std::move(*problem));
        }
        record = m_jobs.insert(key, digest);
    }
    if (record == nullptr) {
        return core::failure(core::error_kind::outcome_unknown, "too many keys are remembered");
    }
    if (record->digest == 0) {
        record->digest = digest;
    }
    if (digest != 0 && record->digest != digest) {
        return core::failure(core::error_kind::key_conflict);
    }
    return record;
}

auto key_authority::addWaiter(key_context &ctx, std::shared_ptr<const job_spec> spec, const waiter &requester, int hops)
    -> void
{
    if (ctx.record.state == key_state::answered) {
        answerWaiter(ctx, requester, ctx.record.answer);
        return;
    }
    const bool isPending = ctx.record.inFlight != nullptr;
    auto &pending = pendingRequest(ctx);
    if (std::ranges::find(pending.waiters, requester) == pending.waiters.end()) {
        pending.waiters.push_back(requester);
    }
    if (!pending.spec) {
        pending.spec = std::move(spec);
    }
    if (isPending || ctx.record.state == key_state::in_progress) {
        return;
    }
    pending.hops = hops;
    pending.decisionDeadline = ctx.at.now + decisionTimeout;
    decide(ctx);
}

auto key_authority::decide(key_context &ctx) -> void
{
    if (const auto holder = holderOf(ctx.record)) {
        follow(ctx, *holder);
        return;
    }
    if (m_leaving || !m_authority.mayAct(ctx.at.now)) {
        fail(ctx, core::error_kind::authority_lapsed, "membership could not be confirmed");
        return;
    }
    if (!pendingRequest(ctx).spec) {
        fail(ctx, core::error_kind::unknown_job, "the job is not known here");
        return;
    }
    const auto coordinator = coordinatorOf(ctx.key);
    if (coordinator == m_authority.self()) {
        decideAsCoordinator(ctx);
    } else if (m_unreachable.contains(coordinator.member)) {
        claim(ctx, true);
    } else {
        requestGrant(ctx, coordinator);
    }
}

// From here on only this entry may dispatch the key.
auto key_authority::acquireKey(key_context &ctx) -> void
{
    core::requireInvariant(
        !ctx.record.promised && ctx.record.state != key_state::in_progress && ctx.record.state != key_state::answered,
        core::invariant_kind::at_most_once,
        [&ctx] { return "key=" + unpackKey(ctx.key).str() + " acquired twice or despite a promise"; });
    if (m_leaving || !m_authority.mayAct(ctx.at.now)) {
        fail(ctx, core::error_kind::authority_lapsed, "membership could not be confirmed");
        return;
    }
    ctx.record.state = key_state::in_progress;
    pendingRequest(ctx).stepDeadline = {};
    const auto cancellations = m_cancellations.equal_range(ctx.key);
    if (cancellations.first == cancellations.second) {
        ctx.out.emplace_back(dispatch_action{ctx.key, pendingRequest(ctx).spec});
        return;
    }
    m_jobs.cancel(ctx.key, ctx.record);
    resolve(ctx, ctx.record.answer);
}

// An unknown outcome from another entry is forwarded but not stored, since the other entry may later report the
// definite one.
auto key_authority::resolve(key_context &ctx, const shared_answer &answer) -> void
{
    const bool isHolder = ctx.record.state == key_state::in_progress || ctx.record.state == key_state::answered;
    const bool definite = runStateOf(*answer) != core::run_state::unknown;
    auto sent = answer;
    if (isHolder || definite) {
        m_jobs.finish(ctx.key, ctx.record, answer);
        sent = ctx.record.answer;
    }
    if (ctx.record.inFlight) {
        const auto waiters = std::move(ctx.record.inFlight->waiters);
        endPending(ctx);
        for (const auto &requester : waiters) {
            answerWaiter(ctx, requester, sent);
        }
    }
    finishCancellations(ctx);
}

// Used only for keys that this entry does not hold, so no error kind passed here may mean "not run".
auto key_authority::fail(key_context &ctx, core::error_kind kind, std::string_view detail) -> void
{
    core::requireInvariant(
        core::errorSpecOf(kind).ran == core::run_state::unknown, core::invariant_kind::not_run_is_true, [&ctx] {
            return "key=" + unpackKey(ctx.key).str() + " failed with a definite run state without the right to it";
        });
    const auto answer = shared(kind, detail);
    if (ctx.record.inFlight) {
        const auto waiters = std::move(ctx.record.inFlight->waiters);
        endPending(ctx);
        for (const auto &requester : waiters) {
            refuseWaiter(ctx, requester, answer);
        }
    }
    finishCancellations(ctx);
}

auto key_authority::answerWaiter(key_context &ctx, const waiter &requester, const shared_answer &answer) -> void
{
    if (const auto *local = std::get_if<waiter_id>(&requester)) {
        ctx.out.emplace_back(answer_action{*local, answer});
        return;
    }
    const auto &remote = std::get<remote_waiter>(requester);
    const auto name = unpackKey(ctx.key);
    if (remote.delegated) {
        delegate_reply reply{remote.correlation, name, delegate_status::answered, {}, *answer};
        ctx.out.emplace_back(send_action{remote.member, std::move(reply)});
        return;
    }
    job_report report{remote.correlation, name, job_phase::answered, {}, *answer};
    ctx.out.emplace_back(send_action{remote.member, std::move(report)});
}

auto key_authority::refuseWaiter(key_context &ctx, const waiter &requester, const shared_answer &answer) -> void
{
    if (std::holds_alternative<waiter_id>(requester) || answer->error().kind == core::error_kind::key_conflict) {
        answerWaiter(ctx, requester, answer);
        return;
    }
    const auto &remote = std::get<remote_waiter>(requester);
    const auto name = unpackKey(ctx.key);
    const auto holder = holderOf(ctx.record);
    if (remote.delegated) {
        const auto status = holder ? delegate_status::held : delegate_status::undecided;
        delegate_reply reply{remote.correlation, name, status, holder.value_or(member_ref{}), std::nullopt};
        ctx.out.emplace_back(send_action{remote.member, std::move(reply)});
        return;
    }
    const auto phase = holder ? job_phase::elsewhere : job_phase::undecided;
    job_report report{remote.correlation, name, phase, holder.value_or(member_ref{}), std::nullopt};
    ctx.out.emplace_back(send_action{remote.member, std::move(report)});
}

auto key_authority::dispatchReply(const member_ref &from, const peer_message &message, instant at, key_actions &out)
    -> void
{
    if (const auto *cancellation = std::get_if<cancel_reply>(&message)) {
        onCancelReply(*cancellation, at, out);
        return;
    }
    if (const auto *acknowledged = std::get_if<handover_reply>(&message)) {
        m_handovers.erase(acknowledged->correlation);
        return;
    }
    if (const auto *report = std::get_if<job_report>(&message);
        report != nullptr && handleLookupReport(from, *report, at, out)) {
        return;
    }
    const auto handle = [&](const auto &reply, auto handler) {
        const auto key = packKey(reply.key);
        auto *record = key ? m_jobs.find(*key) : nullptr;
        if (record != nullptr && record->inFlight && record->inFlight->correlation == reply.correlation) {
            key_context ctx{*key, *record, at, out};
            handler(ctx);
        }
    };
    if (const auto *grant = std::get_if<grant_reply>(&message)) {
        handle(*grant, [&](key_context &ctx) { onGrantReply(*grant, ctx); });
    } else if (const auto *promise = std::get_if<promise_reply>(&message)) {
        handle(*promise, [&](key_context &ctx) { onPromiseReply(from, *promise, ctx); });
    } else if (const auto *state = std::get_if<job_report>(&message)) {
        handle(*state, [&](key_context &ctx) { onJobReport(from, *state, ctx); });
    } else if (const auto *delegation = std::get_if<delegate_reply>(&message)) {
        handle(*delegation, [&](key_context &ctx) { onDelegateReply(from, *delegation, ctx); });
    }
}
} // namespace poplarpass::request
