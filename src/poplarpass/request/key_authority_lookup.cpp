#include <poplarpass/core/rendezvous.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>
#include <utility>

namespace poplarpass::request
{
namespace
{
auto shared(core::error_kind kind, std::string_view detail) -> shared_answer
{
    return std::make_shared<const job_answer>(core::failure(kind, std::string{detail}));
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

auto key_authority::requestAnswer(const core::job_key &key, waiter_id requester, instant at) -> key_actions
{
    key_actions out;
    key_lookup lookup;
    lookup.local = requester;
    const auto packed = packKey(key);
    if (!packed) {
        const auto answer = std::make_shared<const job_answer>(tl::make_unexpected(packed.error()));
        out.emplace_back(answer_action{requester, answer});
        return out;
    }
    lookup.key = *packed;
    handleLookup(std::move(lookup), at, out);
    return out;
}

auto key_authority::cancel(const core::job_key &key, waiter_id requester, instant at) -> key_actions
{
    key_actions out;
    key_lookup lookup;
    lookup.local = requester;
    lookup.isCancellation = true;
    const auto packed = packKey(key);
    if (!packed) {
        finishLookup(lookup, cancel_outcome::unknown_job, nullptr, out);
        return out;
    }
    lookup.key = *packed;
    handleLookup(std::move(lookup), at, out);
    return out;
}

auto key_authority::handleLookup(key_lookup lookup, instant at, key_actions &out) -> void
{
    auto *record = m_jobs.find(lookup.key);
    if (record == nullptr) {
        queryNextMember(std::move(lookup), at, out);
        return;
    }
    const auto key = lookup.key;
    key_context ctx{key, *record, at, out};
    if (record->state == key_state::answered) {
        finishLookup(lookup, outcomeOf(*record->answer), record->answer, out);
        return;
    }
    if (lookup.isCancellation && (record->state == key_state::in_progress || record->inFlight)) {
        cancelLocally(std::move(lookup), ctx);
        return;
    }
    const auto holder = holderOf(*record);
    if (lookup.isCancellation && holder) {
        queryMember(std::move(lookup), *holder, at, out);
        return;
    }
    if (!lookup.isCancellation && (holder || record->inFlight)) {
        addWaiter(ctx, nullptr, *lookup.local, 0);
        return;
    }
    queryNextMember(std::move(lookup), at, out);
}

// The coordinator has a record of the holder, unless the key was claimed without it; then every other member has one.
auto key_authority::queryNextMember(key_lookup lookup, instant at, key_actions &out) -> void
{
    std::vector<core::member_id> names;
    for (const auto &member : m_authority.activeMembership().members) {
        if (member != m_authority.self() && !m_unreachable.contains(member.member)) {
            names.push_back(member.member);
        }
    }
    if (lookup.remote || lookup.membersTried >= names.size()) {
        finishLookup(lookup, cancel_outcome::unknown_job, nullptr, out);
        return;
    }
    const auto order = core::rendezvousOrder(unpackKey(lookup.key).str(), names);
    const auto target = *m_authority.activeMember(order[lookup.membersTried]);
    ++lookup.membersTried;
    queryMember(std::move(lookup), target, at, out);
}

auto key_authority::queryMember(key_lookup lookup, const member_ref &target, instant at, key_actions &out) -> void
{
    if (lookup.hops >= maxHops) {
        finishLookup(lookup, cancel_outcome::unresolved, nullptr, out);
        return;
    }
    const auto correlation = ++m_lastCorrelation;
    const auto name = unpackKey(lookup.key);
    lookup.target = target;
    lookup.deadline = at.now + (lookup.isCancellation ? cancelTimeout : peerReplyTimeout);
    if (lookup.isCancellation) {
        out.emplace_back(send_action{target, cancel_request{correlation, name, lookup.hops + 1}});
    } else {
        out.emplace_back(send_action{target, job_query{correlation, name, 0}});
    }
    m_lookups.emplace(correlation, std::move(lookup));
}

auto key_authority::finishLookup(const key_lookup &lookup, cancel_outcome outcome, const shared_answer &answer,
                                 key_actions &out) -> void
{
    if (lookup.isCancellation && lookup.local) {
        out.emplace_back(cancel_action{*lookup.local, outcome, answer});
    } else if (lookup.isCancellation && lookup.remote) {
        cancel_reply reply{lookup.remote->correlation, unpackKey(lookup.key), outcome, std::nullopt};
        if (answer) {
            reply.answer = *answer;
        }
        out.emplace_back(send_action{lookup.remote->member, std::move(reply)});
    } else if (lookup.local) {
        const bool unknownJob = outcome == cancel_outcome::unknown_job;
        const auto kind = unknownJob ? core::error_kind::unknown_job : core::error_kind::outcome_unknown;
        out.emplace_back(answer_action{*lookup.local, answer ? answer : shared(kind, "no entry has an answer")});
    }
}

auto key_authority::finishCancellations(key_context &ctx) -> void
{
    const auto range = m_cancellations.equal_range(ctx.key);
    std::vector<key_lookup> waiting;
    for (auto entry = range.first; entry != range.second; ++entry) {
        waiting.push_back(std::move(entry->second));
    }
    m_cancellations.erase(range.first, range.second);
    for (const auto &lookup : waiting) {
        const bool answered = ctx.record.state == key_state::answered;
        finishLookup(lookup, answered ? outcomeOf(*ctx.record.answer) : cancel_outcome::unresolved, ctx.record.answer,
                     ctx.out);
    }
}

// While the decision about the key is pending, the cancellation waits for it.
auto key_authority::cancelLocally(key_lookup lookup, key_context &ctx) -> void
{
    if (ctx.record.state == key_state::elsewhere) {
        queryMember(std::move(lookup), ctx.record.inFlight->target, ctx.at, ctx.out);
        return;
    }
    m_cancellations.emplace(ctx.key, std::move(lookup));
    if (ctx.record.state != key_state::in_progress || ctx.record.stopping) {
        return;
    }
    switch (m_jobs.cancel(ctx.key, ctx.record)) {
    case cancel_result::cancelled:
        ctx.out.emplace_back(withdraw_action{ctx.key});
        resolve(ctx, ctx.record.answer);
        return;
    case cancel_result::stop_worker:
        ctx.out.emplace_back(stop_action{ctx.key});
        return;
    case cancel_result::already_answered:
    case cancel_result::not_held:
        finishCancellations(ctx);
        return;
    }
}

auto key_authority::onCancelRequest(const member_ref &from, const cancel_request &message, instant at, key_actions &out)
    -> void
{
    const auto key = packKey(message.key);
    if (!key) {
        return;
    }
    key_lookup lookup;
    lookup.key = *key;
    lookup.isCancellation = true;
    lookup.remote = remote_waiter{from, message.correlation, false};
    lookup.hops = message.hops;
    handleLookup(std::move(lookup), at, out);
}

auto key_authority::onCancelReply(const cancel_reply &reply, instant at, key_actions &out) -> void
{
    const auto entry = m_lookups.find(reply.correlation);
    if (entry == m_lookups.end()) {
        return;
    }
    auto lookup = std::move(entry->second);
    m_lookups.erase(entry);
    if (reply.outcome == cancel_outcome::unknown_job) {
        queryNextMember(std::move(lookup), at, out);
        return;
    }
    finishLookup(lookup, reply.outcome, reply.answer ? std::make_shared<const job_answer>(*reply.answer) : nullptr,
                 out);
}

auto key_authority::handleLookupReport(const member_ref &from, const job_report &report, instant at, key_actions &out)
    -> bool
{
    const auto entry = m_lookups.find(report.correlation);
    if (entry == m_lookups.end()) {
        return false;
    }
    auto lookup = std::move(entry->second);
    m_lookups.erase(entry);
    switch (report.phase) {
    case job_phase::answered:
        finishLookup(lookup, cancel_outcome::too_late, std::make_shared<const job_answer>(*report.answer), out);
        return true;
    case job_phase::elsewhere:
        ++lookup.hops;
        queryMember(std::move(lookup), report.holder, at, out);
        return true;
    case job_phase::in_progress:
    case job_phase::deciding: {
        const auto key = lookup.key;
        const auto record = admit(key, 0, at);
        if (!record) {
            finishLookup(lookup, cancel_outcome::unresolved, nullptr, out);
            return true;
        }
        key_context ctx{key, **record, at, out};
        auto &pending = pendingRequest(ctx);
        pending.waiters.emplace_back(*lookup.local);
        if (pending.waiters.size() == 1) {
            follow(ctx, from);
        }
        return true;
    }
    case job_phase::undecided:
    case job_phase::never_seen:
    case job_phase::conflict:
        queryNextMember(std::move(lookup), at, out);
        return true;
    }
    return true;
}

auto key_authority::expireLookups(instant at, key_actions &out) -> void
{
    std::vector<key_lookup> expired;
    for (auto entry = m_lookups.begin(); entry != m_lookups.end();) {
        if (entry->second.deadline <= at.now) {
            expired.push_back(std::move(entry->second));
            entry = m_lookups.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const auto &lookup : expired) {
        finishLookup(lookup, cancel_outcome::unresolved, nullptr, out);
    }
}
} // namespace poplarpass::request
