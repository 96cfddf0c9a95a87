#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>

namespace poplarpass::request
{
namespace
{
auto isUndecided(key_state state) -> bool
{
    return state == key_state::awaiting_grant || state == key_state::claiming || state == key_state::forwarding;
}
} // namespace

auto key_authority::setTimer(key_context &ctx, core::monotonic_time due) -> void
{
    pendingRequest(ctx).stepDeadline = due;
    m_timers.push(timer{due, ctx.key});
}

auto key_authority::handleTimeout(key_context &ctx) -> void
{
    auto &pending = *ctx.record.inFlight;
    if (pending.retry) {
        pending.retry = false;
        decide(ctx);
        return;
    }
    switch (ctx.record.state) {
    case key_state::awaiting_grant:
        claim(ctx, true);
        return;
    case key_state::claiming:
        fail(ctx, core::error_kind::outcome_unknown, "a member did not answer a claim");
        return;
    case key_state::forwarding:
    case key_state::elsewhere:
        if (ctx.at.now - pending.lastReportAt >= jobReportTimeout) {
            fail(ctx, core::error_kind::outcome_unknown, "the entry that has the job does not answer");
            return;
        }
        query(ctx);
        return;
    case key_state::undecided:
    case key_state::in_progress:
    case key_state::answered:
        return;
    }
}

auto key_authority::scheduleRetry(key_context &ctx) -> void
{
    if (ctx.at.now + epochRetryDelay > pendingRequest(ctx).decisionDeadline) {
        fail(ctx, core::error_kind::home_unreachable, "the entries do not agree on the member list yet");
        return;
    }
    pendingRequest(ctx).correlation = ++m_lastCorrelation;
    pendingRequest(ctx).retry = true;
    setTimer(ctx, ctx.at.now + epochRetryDelay);
}

// The new correlation causes replies to the previous step to be ignored.
auto key_authority::beginStep(key_context &ctx, key_state state) -> pending_request &
{
    auto &pending = pendingRequest(ctx);
    ctx.record.state = state;
    pending.correlation = ++m_lastCorrelation;
    pending.epoch = m_authority.activeMembership().epoch;
    pending.retry = false;
    pending.required.clear();
    pending.promisedBy.clear();
    pending.claimants.clear();
    return pending;
}

auto key_authority::pendingRequest(key_context &ctx) -> pending_request &
{
    if (!ctx.record.inFlight) {
        ctx.record.inFlight = std::make_unique<pending_request>();
        m_active.insert(ctx.key);
    }
    return *ctx.record.inFlight;
}

auto key_authority::endPending(key_context &ctx) -> void
{
    ctx.record.inFlight.reset();
    m_active.erase(ctx.key);
    if (ctx.record.state != key_state::answered && ctx.record.state != key_state::in_progress) {
        ctx.record.state = ctx.record.holder != 0 ? key_state::elsewhere : key_state::undecided;
    }
}

// Promises and grants are valid only in the epoch in which they were requested.
auto key_authority::restartUndecided(instant at, key_actions &out) -> void
{
    for (const auto &key : activeKeys()) {
        auto *record = m_jobs.find(key);
        if (isUndecided(record->state)) {
            key_context ctx{key, *record, at, out};
            decide(ctx);
        }
    }
}

auto key_authority::handleUnreachable(key_context &ctx, const core::member_id &member) -> void
{
    const auto &pending = *ctx.record.inFlight;
    if (pending.retry) {
        return;
    }
    if (ctx.record.state == key_state::awaiting_grant && pending.target.member == member) {
        claim(ctx, true);
        return;
    }
    const bool waitsForTarget = ctx.record.state == key_state::forwarding || ctx.record.state == key_state::elsewhere;
    if (waitsForTarget && pending.target.member == member) {
        fail(ctx, core::error_kind::outcome_unknown, "the entry that has the job cannot be reached");
        return;
    }
    const bool needed = std::ranges::find(pending.required, member, &member_ref::member) != pending.required.end();
    const bool promised =
        std::ranges::find(pending.promisedBy, member, &member_ref::member) != pending.promisedBy.end();
    if (ctx.record.state == key_state::claiming && needed && !promised) {
        fail(ctx, core::error_kind::outcome_unknown, "a member that may know the key cannot be reached");
    }
}

auto key_authority::activeKeys() const -> std::vector<packed_key>
{
    return {m_active.begin(), m_active.end()};
}
} // namespace poplarpass::request
