#include <poplarpass/core/rendezvous.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>
#include <utility>

namespace poplarpass::request
{
namespace
{
auto addOnce(std::vector<member_ref> &list, const member_ref &member) -> void
{
    if (std::ranges::find(list, member) == list.end()) {
        list.push_back(member);
    }
}

auto includes(const std::vector<member_ref> &list, const member_ref &member) -> bool
{
    return std::ranges::find(list, member) != list.end();
}
} // namespace

// An unreachable coordinator may be omitted only for keys minted after it became their coordinator: it may have
// dispatched an older key under another member list.
auto key_authority::claim(key_context &ctx, bool coordinatorUnreachable) -> void
{
    const auto coordinator = coordinatorOf(ctx.key);
    const auto since = m_authority.actsSince(coordinator.member);
    const bool withoutCoordinator = coordinatorUnreachable && since && mintTimeOf(ctx.key) > *since + mintMargin;
    auto &pending = beginStep(ctx, key_state::claiming);
    for (const auto &member : m_authority.activeMembership().members) {
        if (member == m_authority.self() || (withoutCoordinator && member == coordinator)) {
            continue;
        }
        if (m_unreachable.contains(member.member)) {
            fail(ctx, core::error_kind::outcome_unknown, "a member that may know the key cannot be reached");
            return;
        }
        pending.required.push_back(member);
    }
    if (withoutCoordinator && pending.required.empty()) {
        fail(ctx, core::error_kind::home_unreachable, "no second member would know of the key");
        return;
    }
    for (const auto &member : pending.required) {
        ctx.out.emplace_back(send_action{
            member, promise_request{pending.correlation, pending.epoch, unpackKey(ctx.key), ctx.record.digest}});
    }
    setTimer(ctx, ctx.at.now + peerReplyTimeout);
    if (pending.required.empty()) {
        completeClaim(ctx);
    }
}

// Another claimant may have dispatched the key unless it has promised not to.
auto key_authority::completeClaim(key_context &ctx) -> void
{
    const auto &pending = *ctx.record.inFlight;
    const bool claimantsPromised = std::ranges::all_of(
        pending.claimants, [&pending](const member_ref &claimant) { return includes(pending.promisedBy, claimant); });
    if (!claimantsPromised) {
        fail(ctx, core::error_kind::outcome_unknown, "a member that claimed the key before is gone");
        return;
    }
    if (m_authority.recordCoverageOf(ctx.record.minted) == record_coverage::incomplete) {
        fail(ctx, core::error_kind::outcome_unknown, "every member that knew the key may be gone");
        return;
    }
    acquireKey(ctx);
}

auto key_authority::onPromiseRequest(const member_ref &from, const promise_request &message, instant at,
                                     key_actions &out) -> void
{
    const auto key = packKey(message.key);
    promise_reply reply;
    reply.correlation = message.correlation;
    reply.epoch = m_authority.activeMembership().epoch;
    reply.key = message.key;
    if (!key) {
        return;
    }
    if (message.epoch == reply.epoch && contains(m_authority.activeMembership(), from)) {
        const auto record = admit(*key, message.digest, at);
        if (!record && record.error().kind != core::error_kind::key_conflict) {
            return;
        }
        if (!record) {
            reply.status = promise_status::conflict;
        } else {
            key_context ctx{*key, **record, at, out};
            decidePromise(from, ctx, reply);
        }
    }
    out.emplace_back(send_action{from, std::move(reply)});
}

auto key_authority::decidePromise(const member_ref &from, key_context &ctx, promise_reply &reply) -> void
{
    const auto &record = ctx.record;
    if (record.state == key_state::answered) {
        reply.status = promise_status::answered;
        reply.answer = *record.answer;
        return;
    }
    if (record.state == key_state::in_progress) {
        reply.status = promise_status::known;
        reply.holder = m_authority.self();
        return;
    }
    if (record.holder != 0 && m_jobs.memberAt(record.holder) != from) {
        reply.status = promise_status::known;
        reply.holder = m_jobs.memberAt(record.holder);
        return;
    }
    const bool deciding = record.state == key_state::awaiting_grant || record.state == key_state::claiming;
    if (deciding && precedes(ctx.key, m_authority.self(), from)) {
        reply.status = promise_status::deciding;
        return;
    }
    makePromise(from, ctx, reply);
}

// The promise binds towards all claimants, so several may receive it; each reply lists the other claimants.
auto key_authority::makePromise(const member_ref &claimant, key_context &ctx, promise_reply &reply) -> void
{
    const auto index = m_jobs.indexOf(claimant);
    reply.status = promise_status::promised;
    for (const auto other : ctx.record.claimants) {
        if (other != index) {
            reply.claimants.push_back(m_jobs.memberAt(other));
        }
    }
    recordClaimant(ctx.record, claimant);
    ctx.record.promised = true;
    if (ctx.record.state == key_state::awaiting_grant || ctx.record.state == key_state::claiming) {
        follow(ctx, claimant);
    }
}

auto key_authority::recordClaimant(job_record &record, const member_ref &claimant) -> void
{
    const auto index = m_jobs.indexOf(claimant);
    std::erase(record.claimants, index);
    record.claimants.push_back(index);
}

auto key_authority::onPromiseReply(const member_ref &from, const promise_reply &reply, key_context &ctx) -> void
{
    if (ctx.record.state != key_state::claiming) {
        return;
    }
    auto &pending = *ctx.record.inFlight;
    if (pending.epoch != m_authority.activeMembership().epoch) {
        scheduleRetry(ctx);
        return;
    }
    switch (reply.status) {
    case promise_status::promised:
        addOnce(pending.promisedBy, from);
        for (const auto &claimant : reply.claimants) {
            if (claimant != m_authority.self()) {
                addOnce(pending.claimants, claimant);
            }
        }
        if (std::ranges::all_of(pending.required, [&pending](const member_ref &member) {
                return includes(pending.promisedBy, member);
            })) {
            completeClaim(ctx);
        }
        return;
    case promise_status::known:
        recordHolder(ctx, reply.holder);
        return;
    case promise_status::deciding:
        follow(ctx, from);
        return;
    case promise_status::answered:
        resolve(ctx, std::make_shared<const job_answer>(*reply.answer));
        return;
    case promise_status::wrong_epoch:
        scheduleRetry(ctx);
        return;
    case promise_status::conflict:
        fail(ctx, core::error_kind::key_conflict, "the key was used with another job");
        return;
    }
}

auto key_authority::precedes(const packed_key &key, const member_ref &left, const member_ref &right) const -> bool
{
    const std::vector<core::member_id> pair{left.member, right.member};
    return core::rendezvousCoordinator(unpackKey(key).str(), pair) == left.member;
}
} // namespace poplarpass::request
