#include <poplarpass/core/rendezvous.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>
#include <utility>

namespace poplarpass::request
{
namespace
{
auto namesOf(const membership &list) -> std::vector<core::member_id>
{
    std::vector<core::member_id> names;
    names.reserve(list.members.size());
    for (const auto &member : list.members) {
        names.push_back(member.member);
    }
    return names;
}
} // namespace

// The coordinator never grants a key to itself, so that two processes have a record of every dispatched key.
auto key_authority::decideAsCoordinator(key_context &ctx) -> void
{
    const auto next = nextReachableMember(ctx.key);
    const bool single = m_authority.activeMembership().members.size() == 1;
    if (single) {
        claim(ctx, false);
        return;
    }
    if (!next) {
        fail(ctx, core::error_kind::home_unreachable, "no other entry can be reached");
        return;
    }
    const bool granted = ctx.record.claimants.empty() && mayGrantDirectly(ctx.key, ctx.at.now);
    if (granted) {
        ctx.record.holder = m_jobs.indexOf(*next);
    }
    forward(ctx, *next, granted);
}

auto key_authority::forward(key_context &ctx, const member_ref &target, bool granted) -> void
{
    auto &pending = beginStep(ctx, granted ? key_state::elsewhere : key_state::forwarding);
    pending.target = target;
    pending.lastReportAt = ctx.at.now;
    pending.delegated = true;
    ctx.out.emplace_back(
        send_action{target, delegate{pending.correlation, pending.epoch, granted, pending.hops + 1, *pending.spec}});
    setTimer(ctx, ctx.at.now + jobQueryInterval);
}

auto key_authority::nextReachableMember(const packed_key &key) const -> std::optional<member_ref>
{
    const auto names = namesOf(m_authority.activeMembership());
    for (const auto &name : core::rendezvousOrder(unpackKey(key).str(), names)) {
        if (name != m_authority.self().member && !m_unreachable.contains(name)) {
            return m_authority.activeMember(name);
        }
    }
    return std::nullopt;
}

// Two members, including the holder, must have a record of the key after this one has left. Members that are about to
// be removed do not count, so the newest list is used instead of the active one.
auto key_authority::selectSuccessors(const packed_key &key, const member_ref &holder) -> std::vector<member_ref>
{
    const auto &list = m_authority.newestMembership();
    const bool holderStays = holder != m_authority.self() && contains(list, holder);
    const auto others = list.members.size() - (contains(list, m_authority.self()) ? 1 : 0);
    const auto wanted = std::min<std::size_t>(others, keyCopies) - (holderStays ? 1 : 0);
    std::vector<member_ref> successors;
    for (const auto &name : core::rendezvousOrder(unpackKey(key).str(), namesOf(list))) {
        const auto member = *std::ranges::find(list.members, name, &member_ref::member);
        const bool hasRecord = member == m_authority.self() || member == holder;
        if (!hasRecord && !m_unreachable.contains(name) && successors.size() < wanted) {
            successors.push_back(member);
        }
    }
    m_untransferredKeys += others > 0 && successors.size() == wanted ? 0 : 1;
    return successors;
}

auto key_authority::coordinatorOf(const packed_key &key) const -> member_ref
{
    const auto names = namesOf(m_authority.activeMembership());
    return *m_authority.activeMember(core::rendezvousCoordinator(unpackKey(key).str(), names));
}

// A key minted after every member had adopted the active epoch was never granted by another coordinator.
auto key_authority::mayGrantDirectly(const packed_key &key, core::monotonic_time now) const -> bool
{
    const auto established = m_authority.establishedAt();
    return !m_leaving && established && m_authority.mayGrantWithoutClaim(now)
        && mintTimeOf(key) > *established + mintMargin;
}

auto key_authority::requestGrant(key_context &ctx, const member_ref &coordinator) -> void
{
    auto &pending = beginStep(ctx, key_state::awaiting_grant);
    pending.target = coordinator;
    ctx.out.emplace_back(send_action{
        coordinator, grant_request{pending.correlation, pending.epoch, unpackKey(ctx.key), ctx.record.digest}});
    setTimer(ctx, ctx.at.now + peerReplyTimeout);
}

auto key_authority::onGrantRequest(const member_ref &from, const grant_request &message, instant at, key_actions &out)
    -> void
{
    const auto key = packKey(message.key);
    grant_reply reply{
        message.correlation, m_authority.activeMembership().epoch, message.key, grant_status::wrong_epoch, {},
        std::nullopt};
    if (!key) {
        return;
    }
    if (message.epoch == reply.epoch && contains(m_authority.activeMembership(), from)
        && coordinatorOf(*key) == m_authority.self()) {
        const auto record = admit(*key, message.digest, at);
        if (record) {
            key_context ctx{*key, **record, at, out};
            decideGrant(from, ctx, reply);
        } else {
            const bool conflict = record.error().kind == core::error_kind::key_conflict;
            reply.status = conflict ? grant_status::conflict : grant_status::not_fresh;
        }
    }
    out.emplace_back(send_action{from, std::move(reply)});
}

auto key_authority::decideGrant(const member_ref &from, key_context &ctx, grant_reply &reply) -> void
{
    const auto &record = ctx.record;
    if (record.state == key_state::answered) {
        reply.status = grant_status::answered;
        reply.answer = *record.answer;
        return;
    }
    if (record.state == key_state::in_progress) {
        reply.status = grant_status::held;
        reply.holder = m_authority.self();
        return;
    }
    if (record.holder != 0 && !record.promised) {
        const auto &holder = m_jobs.memberAt(record.holder);
        reply.status = holder == from ? grant_status::granted : grant_status::held;
        reply.holder = holder;
        return;
    }
    if (!record.claimants.empty() || record.state == key_state::forwarding || !mayGrantDirectly(ctx.key, ctx.at.now)) {
        reply.status = m_authority.mayAct(ctx.at.now) ? grant_status::claim_needed : grant_status::not_fresh;
        return;
    }
    ctx.record.holder = m_jobs.indexOf(from);
    reply.status = grant_status::granted;
    if (ctx.record.inFlight) {
        follow(ctx, from);
        return;
    }
    ctx.record.state = key_state::elsewhere;
}

auto key_authority::onGrantReply(const grant_reply &reply, key_context &ctx) -> void
{
    if (ctx.record.state != key_state::awaiting_grant) {
        return;
    }
    if (ctx.record.inFlight->epoch != m_authority.activeMembership().epoch) {
        scheduleRetry(ctx);
        return;
    }
    switch (reply.status) {
    case grant_status::granted:
        acquireKey(ctx);
        return;
    case grant_status::held:
        recordHolder(ctx, reply.holder);
        return;
    case grant_status::answered:
        resolve(ctx, std::make_shared<const job_answer>(*reply.answer));
        return;
    case grant_status::claim_needed:
    case grant_status::not_fresh:
        claim(ctx, false);
        return;
    case grant_status::wrong_epoch:
        scheduleRetry(ctx);
        return;
    case grant_status::conflict:
        fail(ctx, core::error_kind::key_conflict, "the key was used with another job");
        return;
    }
}
} // namespace poplarpass::request
