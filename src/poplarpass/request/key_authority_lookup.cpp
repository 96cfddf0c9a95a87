#include <poplarpass/core/rendezvous.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>
#include <utility>

namespace poplarpass::request
{
namespace
{
auto shared(core::error_kind kind, std::string_view why) -> shared_answer
{
    return std::make_shared<const job_answer>(core::failure(kind, std::string{why}));
}

auto outcomeOf(const job_answer &answer) -> cancel_outcome
{
    if (answer) {
        return cancel_outcome::too_late;
    }
    if (answer.error().kind == core::error_kind::cancelled) {
        return cancel_outcome::cancelled;
    }
    if (answer.error().kind == core::error_kind::stopped) {
        return cancel_outcome::stopped;
    }
    return runStateOf(answer) == core::run_state::unknown ? cancel_outcome::unresolved : cancel_outcome::too_late;
}
} // namespace

auto key_authority::ask(const core::job_key &key, waiter_id who, instant at) -> key_actions
{
    key_actions out;
    lookup found;
    found.local = who;
    const auto packed = packKey(key);
    if (!packed) {
        const auto answer = std::make_shared<const job_answer>(tl::make_unexpected(packed.error()));
        out.emplace_back(answer_action{who, answer});
        return out;
    }
    found.key = *packed;
    lookUp(std::move(found), at, out);
    return out;
}

auto key_authority::cancel(const core::job_key &key, waiter_id who, instant at) -> key_actions
{
    key_actions out;
    lookup found;
    found.local = who;
    found.cancels = true;
    const auto packed = packKey(key);
    if (!packed) {
        endLookup(found, cancel_outcome::unknown_job, nullptr, out);
        return out;
    }
    found.key = *packed;
    lookUp(std::move(found), at, out);
    return out;
}

auto key_authority::lookUp(lookup found, instant at, key_actions &out) -> void
{
    auto *record = m_jobs.find(found.key);
    if (record == nullptr) {
        askNext(std::move(found), at, out);
        return;
    }
    const auto key = found.key;
    step s{key, *record, at, out};
    if (record->state == key_state::answered) {
        endLookup(found, outcomeOf(*record->answer), record->answer, out);
        return;
    }
    if (found.cancels && (record->state == key_state::in_progress || record->work)) {
        cancelHere(std::move(found), s);
        return;
    }
    const auto holder = holderOf(*record);
    if (found.cancels && holder) {
        askMember(std::move(found), *holder, at, out);
        return;
    }
    if (!found.cancels && (holder || record->work)) {
        join(s, nullptr, *found.local, 0);
        return;
    }
    askNext(std::move(found), at, out);
}

// The coordinator has a record of the holder, unless the key was claimed without it; then every other member has one.
auto key_authority::askNext(lookup found, instant at, key_actions &out) -> void
{
    std::vector<core::member_id> names;
    for (const auto &member : m_authority.acting().members) {
        if (member != m_authority.self() && !m_down.contains(member.member)) {
            names.push_back(member.member);
        }
    }
    if (found.remote || found.tried >= names.size()) {
        endLookup(found, cancel_outcome::unknown_job, nullptr, out);
        return;
    }
    const auto order = core::rendezvousOrder(unpackKey(found.key).str(), names);
    const auto target = *m_authority.actingMember(order[found.tried]);
    ++found.tried;
    askMember(std::move(found), target, at, out);
}

auto key_authority::askMember(lookup found, const member_ref &target, instant at, key_actions &out) -> void
{
    if (found.hops >= maxHops) {
        endLookup(found, cancel_outcome::unresolved, nullptr, out);
        return;
    }
    const auto correlation = ++m_lastCorrelation;
    const auto name = unpackKey(found.key);
    found.target = target;
    found.deadline = at.now + (found.cancels ? cancelTimeout : peerReplyTimeout);
    if (found.cancels) {
        out.emplace_back(send_action{target, cancel_request{correlation, name, found.hops + 1}});
    } else {
        out.emplace_back(send_action{target, job_query{correlation, name, 0}});
    }
    m_lookups.emplace(correlation, std::move(found));
}

auto key_authority::endLookup(const lookup &found, cancel_outcome outcome, const shared_answer &answer,
                              key_actions &out) -> void
{
    if (found.cancels && found.local) {
        out.emplace_back(cancel_action{*found.local, outcome, answer});
    } else if (found.cancels && found.remote) {
        cancel_reply reply{found.remote->correlation, unpackKey(found.key), outcome, std::nullopt};
        if (answer) {
            reply.answer = *answer;
        }
        out.emplace_back(send_action{found.remote->member, std::move(reply)});
    } else if (found.local) {
        const bool unknownJob = outcome == cancel_outcome::unknown_job;
        const auto kind = unknownJob ? core::error_kind::unknown_job : core::error_kind::outcome_unknown;
        out.emplace_back(answer_action{*found.local, answer ? answer : shared(kind, "no entry has an answer")});
    }
}

auto key_authority::endCancels(step &s) -> void
{
    const auto range = m_cancels.equal_range(s.key);
    std::vector<lookup> waiting;
    for (auto entry = range.first; entry != range.second; ++entry) {
        waiting.push_back(std::move(entry->second));
    }
    m_cancels.erase(range.first, range.second);
    for (const auto &found : waiting) {
        const bool answered = s.record.state == key_state::answered;
        endLookup(found, answered ? outcomeOf(*s.record.answer) : cancel_outcome::unresolved, s.record.answer, s.out);
    }
}

// While the decision about the key is pending, the cancellation waits for it.
auto key_authority::cancelHere(lookup found, step &s) -> void
{
    if (s.record.state == key_state::elsewhere) {
        askMember(std::move(found), s.record.work->target, s.at, s.out);
        return;
    }
    m_cancels.emplace(s.key, std::move(found));
    if (s.record.state != key_state::in_progress || s.record.stopping) {
        return;
    }
    switch (m_jobs.cancel(s.key, s.record)) {
    case cancel_step::done_cancelled:
        s.out.emplace_back(withdraw_action{s.key});
        settle(s, s.record.answer);
        return;
    case cancel_step::stop_worker:
        s.out.emplace_back(stop_action{s.key});
        return;
    case cancel_step::done_too_late:
    case cancel_step::not_here:
        endCancels(s);
        return;
    }
}

auto key_authority::onCancelRequest(const member_ref &from, const cancel_request &ask, instant at, key_actions &out)
    -> void
{
    const auto key = packKey(ask.key);
    if (!key) {
        return;
    }
    lookup found;
    found.key = *key;
    found.cancels = true;
    found.remote = remote_waiter{from, ask.correlation, false};
    found.hops = ask.hops;
    lookUp(std::move(found), at, out);
}

auto key_authority::onCancelReply(const cancel_reply &reply, instant at, key_actions &out) -> void
{
    const auto entry = m_lookups.find(reply.correlation);
    if (entry == m_lookups.end()) {
        return;
    }
    auto found = std::move(entry->second);
    m_lookups.erase(entry);
    if (reply.outcome == cancel_outcome::unknown_job) {
        askNext(std::move(found), at, out);
        return;
    }
    endLookup(found, reply.outcome, reply.answer ? std::make_shared<const job_answer>(*reply.answer) : nullptr, out);
}

auto key_authority::onLookupReport(const member_ref &from, const job_report &report, instant at, key_actions &out)
    -> bool
{
    const auto entry = m_lookups.find(report.correlation);
    if (entry == m_lookups.end()) {
        return false;
    }
    auto found = std::move(entry->second);
    m_lookups.erase(entry);
    switch (report.phase) {
    case job_phase::answered:
        endLookup(found, cancel_outcome::too_late, std::make_shared<const job_answer>(*report.answer), out);
        return true;
    case job_phase::elsewhere:
        ++found.hops;
        askMember(std::move(found), report.holder, at, out);
        return true;
    case job_phase::in_progress:
    case job_phase::deciding: {
        const auto key = found.key;
        const auto record = admit(key, 0, at);
        if (!record) {
            endLookup(found, cancel_outcome::unresolved, nullptr, out);
            return true;
        }
        step s{key, **record, at, out};
        auto &work = workOf(s);
        work.waiters.emplace_back(*found.local);
        if (work.waiters.size() == 1) {
            follow(s, from);
        }
        return true;
    }
    case job_phase::undecided:
    case job_phase::never_seen:
    case job_phase::conflict:
        askNext(std::move(found), at, out);
        return true;
    }
    return true;
}

auto key_authority::expireLookups(instant at, key_actions &out) -> void
{
    std::vector<lookup> expired;
    for (auto entry = m_lookups.begin(); entry != m_lookups.end();) {
        if (entry->second.deadline <= at.now) {
            expired.push_back(std::move(entry->second));
            entry = m_lookups.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const auto &found : expired) {
        endLookup(found, cancel_outcome::unresolved, nullptr, out);
    }
}
} // namespace poplarpass::request
