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
auto shared(core::error_kind kind, std::string_view why) -> shared_answer
{
    return std::make_shared<const job_answer>(core::failure(kind, std::string{why}));
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

key_authority::key_authority(authority &decider, job_table &jobs)
    : m_authority{decider}
    , m_jobs{jobs}
{
}

auto key_authority::submit(const job_spec &spec, waiter_id who, instant at) -> key_actions
{
    key_actions out;
    const auto key = packKey(spec.key);
    if (!key) {
        out.emplace_back(answer_action{who, std::make_shared<const job_answer>(tl::make_unexpected(key.error()))});
        return out;
    }
    const auto record = admit(*key, digestOf(spec), at);
    if (!record) {
        out.emplace_back(answer_action{who, std::make_shared<const job_answer>(tl::make_unexpected(record.error()))});
        return out;
    }
    step s{*key, **record, at, out};
    if (s.record.state == key_state::answered) {
        answerWaiter(s, who, s.record.answer);
        return out;
    }
    join(s, std::make_shared<const job_spec>(spec), who, 0);
    return out;
}

auto key_authority::giveUp(const core::job_key &key, waiter_id who) -> void
{
    const auto packed = packKey(key);
    auto *record = packed ? m_jobs.find(*packed) : nullptr;
    if (record != nullptr && record->work) {
        std::erase(record->work->waiters, waiter{who});
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
    } else if (const auto *ask = std::get_if<job_query>(&message)) {
        onJobQuery(from, *ask, at, out);
    } else if (const auto *order = std::get_if<delegate>(&message)) {
        onDelegate(from, *order, at, out);
    } else if (const auto *stop = std::get_if<cancel_request>(&message)) {
        onCancelRequest(from, *stop, at, out);
    } else if (const auto *keys = std::get_if<handover>(&message)) {
        onHandover(from, *keys, at, out);
    } else {
        dispatchReply(from, message, at, out);
    }
    return out;
}

auto key_authority::reachable(const core::member_id &member) -> void
{
    m_down.erase(member);
}

auto key_authority::unreachable(const core::member_id &member, instant at) -> key_actions
{
    key_actions out;
    m_down.insert(member);
    for (const auto &key : activeKeys()) {
        auto *record = m_jobs.find(key);
        step s{key, *record, at, out};
        memberLost(s, member);
    }
    return out;
}

auto key_authority::advance(instant at) -> key_actions
{
    key_actions out;
    if (m_seenEpoch != m_authority.acting().epoch) {
        m_seenEpoch = m_authority.acting().epoch;
        restartUndecided(at, out);
    }
    while (!m_timers.empty() && m_timers.top().due <= at.now) {
        const auto due = m_timers.top();
        m_timers.pop();
        auto *record = m_jobs.find(due.key);
        if (record != nullptr && record->work && record->work->stepDeadline == due.due) {
            step s{due.key, *record, at, out};
            runTimer(s);
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
    for (const auto &[correlation, found] : m_lookups) {
        earliest = earliest ? std::min(*earliest, found.deadline) : found.deadline;
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
    step s{key, *record, at, out};
    settle(s, std::make_shared<const job_answer>(std::move(answer)));
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

auto key_authority::join(step &s, std::shared_ptr<const job_spec> spec, const waiter &who, int hops) -> void
{
    if (s.record.state == key_state::answered) {
        answerWaiter(s, who, s.record.answer);
        return;
    }
    const bool busy = s.record.work != nullptr;
    auto &work = workOf(s);
    if (std::ranges::find(work.waiters, who) == work.waiters.end()) {
        work.waiters.push_back(who);
    }
    if (!work.spec) {
        work.spec = std::move(spec);
    }
    if (busy || s.record.state == key_state::in_progress) {
        return;
    }
    work.hops = hops;
    work.decideBy = s.at.now + decisionTimeout;
    decide(s);
}

auto key_authority::decide(step &s) -> void
{
    if (const auto holder = holderOf(s.record)) {
        follow(s, *holder);
        return;
    }
    if (m_leaving || !m_authority.mayAct(s.at.now)) {
        fail(s, core::error_kind::authority_lapsed, "membership could not be confirmed");
        return;
    }
    if (!workOf(s).spec) {
        fail(s, core::error_kind::unknown_job, "the job is not known here");
        return;
    }
    const auto home = homeOf(s.key);
    if (home == m_authority.self()) {
        decideAsHome(s);
    } else if (m_down.contains(home.member)) {
        claim(s, true);
    } else {
        askHome(s, home);
    }
}

// From here on only this entry may dispatch the key.
auto key_authority::hold(step &s) -> void
{
    core::requireInvariant(!s.record.promised && s.record.state != key_state::in_progress
                               && s.record.state != key_state::answered,
                           core::invariant_kind::at_most_once,
                           [&s] { return "key=" + unpackKey(s.key).str() + " acquired twice or despite a promise"; });
    if (m_leaving || !m_authority.mayAct(s.at.now)) {
        fail(s, core::error_kind::authority_lapsed, "membership could not be confirmed");
        return;
    }
    s.record.state = key_state::in_progress;
    workOf(s).stepDeadline = {};
    const auto stops = m_cancels.equal_range(s.key);
    if (stops.first == stops.second) {
        s.out.emplace_back(dispatch_action{s.key, workOf(s).spec});
        return;
    }
    m_jobs.cancel(s.key, s.record);
    settle(s, s.record.answer);
}

// An unknown outcome from another entry is forwarded but not stored, since the other entry may later report the
// definite one.
auto key_authority::settle(step &s, const shared_answer &answer) -> void
{
    const bool mine = s.record.state == key_state::in_progress || s.record.state == key_state::answered;
    const bool definite = runStateOf(*answer) != core::run_state::unknown;
    auto told = answer;
    if (mine || definite) {
        m_jobs.finish(s.key, s.record, answer);
        told = s.record.answer;
    }
    if (s.record.work) {
        const auto waiters = std::move(s.record.work->waiters);
        dropWork(s);
        for (const auto &who : waiters) {
            answerWaiter(s, who, told);
        }
    }
    endCancels(s);
}

// Used only for keys that this entry does not hold, so no error kind passed here may mean "not run".
auto key_authority::fail(step &s, core::error_kind kind, std::string_view why) -> void
{
    core::requireInvariant(
        core::answerOf(kind).ran == core::run_state::unknown, core::invariant_kind::not_run_is_true,
        [&s] { return "key=" + unpackKey(s.key).str() + " failed with a definite run state without the right to it"; });
    const auto answer = shared(kind, why);
    if (s.record.work) {
        const auto waiters = std::move(s.record.work->waiters);
        dropWork(s);
        for (const auto &who : waiters) {
            refuseWaiter(s, who, answer);
        }
    }
    endCancels(s);
}

auto key_authority::answerWaiter(step &s, const waiter &who, const shared_answer &answer) -> void
{
    if (const auto *local = std::get_if<waiter_id>(&who)) {
        s.out.emplace_back(answer_action{*local, answer});
        return;
    }
    const auto &remote = std::get<remote_waiter>(who);
    const auto name = unpackKey(s.key);
    if (remote.delegated) {
        delegate_reply reply{remote.correlation, name, delegate_status::answered, {}, *answer};
        s.out.emplace_back(send_action{remote.member, std::move(reply)});
        return;
    }
    job_report report{remote.correlation, name, job_phase::answered, {}, *answer};
    s.out.emplace_back(send_action{remote.member, std::move(report)});
}

auto key_authority::refuseWaiter(step &s, const waiter &who, const shared_answer &answer) -> void
{
    if (std::holds_alternative<waiter_id>(who) || answer->error().kind == core::error_kind::key_conflict) {
        answerWaiter(s, who, answer);
        return;
    }
    const auto &remote = std::get<remote_waiter>(who);
    const auto name = unpackKey(s.key);
    const auto holder = holderOf(s.record);
    if (remote.delegated) {
        const auto status = holder ? delegate_status::held : delegate_status::undecided;
        delegate_reply reply{remote.correlation, name, status, holder.value_or(member_ref{}), std::nullopt};
        s.out.emplace_back(send_action{remote.member, std::move(reply)});
        return;
    }
    const auto phase = holder ? job_phase::elsewhere : job_phase::undecided;
    job_report report{remote.correlation, name, phase, holder.value_or(member_ref{}), std::nullopt};
    s.out.emplace_back(send_action{remote.member, std::move(report)});
}

auto key_authority::dispatchReply(const member_ref &from, const peer_message &message, instant at, key_actions &out)
    -> void
{
    if (const auto *stopped = std::get_if<cancel_reply>(&message)) {
        onCancelReply(*stopped, at, out);
        return;
    }
    if (const auto *done = std::get_if<handover_reply>(&message)) {
        m_handovers.erase(done->correlation);
        return;
    }
    if (const auto *report = std::get_if<job_report>(&message);
        report != nullptr && onLookupReport(from, *report, at, out)) {
        return;
    }
    const auto handle = [&](const auto &reply, auto handler) {
        const auto key = packKey(reply.key);
        auto *record = key ? m_jobs.find(*key) : nullptr;
        if (record != nullptr && record->work && record->work->correlation == reply.correlation) {
            step s{*key, *record, at, out};
            handler(s);
        }
    };
    if (const auto *grant = std::get_if<grant_reply>(&message)) {
        handle(*grant, [&](step &s) { onGrantReply(*grant, s); });
    } else if (const auto *promise = std::get_if<promise_reply>(&message)) {
        handle(*promise, [&](step &s) { onPromiseReply(from, *promise, s); });
    } else if (const auto *state = std::get_if<job_report>(&message)) {
        handle(*state, [&](step &s) { onJobReport(from, *state, s); });
    } else if (const auto *order = std::get_if<delegate_reply>(&message)) {
        handle(*order, [&](step &s) { onDelegateReply(from, *order, s); });
    }
}
} // namespace poplarpass::request
