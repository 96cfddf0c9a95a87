#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>
#include <utility>

namespace poplarpass::request
{
auto key_authority::follow(key_context &ctx, const member_ref &target) -> void
{
    auto &pending = beginStep(ctx, key_state::elsewhere);
    ++pending.hops;
    if (pending.hops > maxHops) {
        fail(ctx, core::error_kind::outcome_unknown, "the entries point at each other for this key");
        return;
    }
    pending.target = target;
    pending.lastReportAt = ctx.at.now;
    query(ctx);
}

auto key_authority::query(key_context &ctx) -> void
{
    const auto &pending = *ctx.record.inFlight;
    ctx.out.emplace_back(
        send_action{pending.target, job_query{pending.correlation, unpackKey(ctx.key), ctx.record.digest}});
    setTimer(ctx, ctx.at.now + jobQueryInterval);
}

// The member that another one waits for is only a hint; the member that was granted the key is definite and recorded.
auto key_authority::redirect(key_context &ctx, const member_ref &target) -> void
{
    if (target == m_authority.self()) {
        scheduleRetry(ctx);
    } else {
        follow(ctx, target);
    }
}

auto key_authority::recordHolder(key_context &ctx, const member_ref &holder) -> void
{
    if (holder != m_authority.self()) {
        ctx.record.holder = m_jobs.indexOf(holder);
    }
    redirect(ctx, holder);
}

auto key_authority::onJobQuery(const member_ref &from, const job_query &message, instant at, key_actions &out) -> void
{
    const auto key = packKey(message.key);
    if (!key) {
        return;
    }
    job_report report{message.correlation, message.key, job_phase::never_seen, {}, std::nullopt};
    auto *record = m_jobs.find(*key);
    if (record == nullptr) {
        out.emplace_back(send_action{from, std::move(report)});
        return;
    }
    key_context ctx{*key, *record, at, out};
    const auto holder = holderOf(*record);
    if (message.digest != 0 && record->digest != 0 && message.digest != record->digest) {
        report.phase = job_phase::conflict;
    } else if (record->state == key_state::answered) {
        report.phase = job_phase::answered;
        report.answer = *record->answer;
    } else if (record->state == key_state::in_progress) {
        report.phase = job_phase::in_progress;
    } else if (holder) {
        report.phase = job_phase::elsewhere;
        report.holder = *holder;
    } else if (record->state == key_state::elsewhere) {
        report.phase = job_phase::elsewhere;
        report.holder = record->inFlight->target;
    } else {
        report.phase = record->inFlight ? job_phase::deciding : job_phase::undecided;
    }
    if (report.phase == job_phase::in_progress || report.phase == job_phase::deciding) {
        addWaiter(ctx, nullptr, remote_waiter{from, message.correlation, false}, 0);
    }
    out.emplace_back(send_action{from, std::move(report)});
}

auto key_authority::onJobReport(const member_ref &from, const job_report &report, key_context &ctx) -> void
{
    auto &pending = *ctx.record.inFlight;
    if (ctx.record.state != key_state::elsewhere && ctx.record.state != key_state::forwarding) {
        return;
    }
    if (from != pending.target) {
        fail(ctx, core::error_kind::outcome_unknown, "the entry that had the job was replaced");
        return;
    }
    switch (report.phase) {
    case job_phase::answered:
        resolve(ctx, std::make_shared<const job_answer>(*report.answer));
        return;
    case job_phase::in_progress:
        ctx.record.holder = m_jobs.indexOf(from);
        ctx.record.state = key_state::elsewhere;
        pending.lastReportAt = ctx.at.now;
        return;
    case job_phase::deciding:
        pending.lastReportAt = ctx.at.now < pending.decisionDeadline ? ctx.at.now : pending.lastReportAt;
        return;
    case job_phase::elsewhere:
        redirect(ctx, report.holder);
        return;
    case job_phase::undecided:
    case job_phase::never_seen:
        delegateToTarget(ctx);
        return;
    case job_phase::conflict:
        fail(ctx, core::error_kind::key_conflict, "the key was used with another job");
        return;
    }
}

// Only the target may still dispatch the key, so the request is delegated to it.
auto key_authority::delegateToTarget(key_context &ctx) -> void
{
    auto &pending = *ctx.record.inFlight;
    if (pending.delegated || !pending.spec || ctx.at.now >= pending.decisionDeadline || pending.hops >= maxHops) {
        fail(ctx, core::error_kind::outcome_unknown, "no entry could decide about the key");
        return;
    }
    const auto target = pending.target;
    forward(ctx, target, false);
    ctx.record.state = key_state::elsewhere;
}

auto key_authority::onDelegate(const member_ref &from, const delegate &message, instant at, key_actions &out) -> void
{
    const auto key = packKey(message.spec.key);
    if (!key) {
        return;
    }
    delegate_reply reply{message.correlation, message.spec.key, delegate_status::undecided, {}, std::nullopt};
    const auto record = admit(*key, digestOf(message.spec), at);
    if (!record || message.hops > maxHops || m_leaving) {
        if (!record && record.error().kind == core::error_kind::key_conflict) {
            reply.status = delegate_status::answered;
            reply.answer = tl::make_unexpected(record.error());
        }
        out.emplace_back(send_action{from, std::move(reply)});
        return;
    }
    key_context ctx{*key, **record, at, out};
    const auto holder = holderOf(ctx.record);
    if (holder && ctx.record.state == key_state::elsewhere) {
        reply.status = delegate_status::held;
        reply.holder = *holder;
        out.emplace_back(send_action{from, std::move(reply)});
        return;
    }
    reply.status = delegate_status::accepted;
    out.emplace_back(send_action{from, std::move(reply)});
    const remote_waiter requester{from, message.correlation, true};
    auto spec = std::make_shared<const job_spec>(message.spec);
    if (!acceptGrant(from, message, ctx)) {
        addWaiter(ctx, std::move(spec), requester, message.hops);
        return;
    }
    auto &pending = pendingRequest(ctx);
    pending.spec = std::move(spec);
    pending.waiters.emplace_back(requester);
    acquireKey(ctx);
}

auto key_authority::acceptGrant(const member_ref &from, const delegate &message, key_context &ctx) -> bool
{
    const bool unused = ctx.record.state == key_state::undecided && !ctx.record.inFlight && !ctx.record.promised;
    return message.granted && unused && message.epoch == m_authority.activeMembership().epoch
        && from == coordinatorOf(ctx.key);
}

auto key_authority::onDelegateReply(const member_ref &from, const delegate_reply &reply, key_context &ctx) -> void
{
    auto &pending = *ctx.record.inFlight;
    if (from != pending.target) {
        fail(ctx, core::error_kind::outcome_unknown, "the entry that had the job was replaced");
        return;
    }
    switch (reply.status) {
    case delegate_status::accepted:
        pending.lastReportAt = ctx.at.now;
        return;
    case delegate_status::undecided:
        fail(ctx, core::error_kind::outcome_unknown, "no entry could decide about the key");
        return;
    case delegate_status::held:
        redirect(ctx, reply.holder);
        return;
    case delegate_status::answered:
        resolve(ctx, std::make_shared<const job_answer>(*reply.answer));
        return;
    }
}

auto key_authority::transferKeys(instant at) -> key_actions
{
    key_actions out;
    m_leaving = true;
    m_untransferredKeys = 0;
    m_handovers.clear();
    std::map<member_ref, handover> batches;
    const auto flush = [this, &out](const member_ref &to, handover &batch) {
        batch.correlation = ++m_lastCorrelation;
        m_handovers[batch.correlation] = to;
        out.emplace_back(send_action{to, std::move(batch)});
        batch = handover{};
    };
    m_jobs.expire(at.wall);
    m_jobs.forEach([&](const packed_key &key, job_record &record) {
        m_untransferredKeys += record.state == key_state::in_progress ? 1 : 0;
        transferred_key transferred{unpackKey(key), record.digest, m_jobs.memberAt(record.holder), {}, std::nullopt};
        for (const auto claimant : record.claimants) {
            transferred.claimants.push_back(m_jobs.memberAt(claimant));
        }
        if (record.holder == 0 && transferred.claimants.empty() && !record.answer) {
            return;
        }
        if (record.answer) {
            transferred.answer = *record.answer;
        }
        for (const auto &to : selectSuccessors(key, transferred.holder)) {
            auto &batch = batches[to];
            batch.keys.push_back(transferred);
            if (batch.keys.size() >= maxHandoverKeys) {
                flush(to, batch);
            }
        }
    });
    for (auto &[to, batch] : batches) {
        if (!batch.keys.empty()) {
            flush(to, batch);
        }
    }
    return out;
}

auto key_authority::transferComplete() const -> bool
{
    return m_leaving && m_handovers.empty() && m_untransferredKeys == 0;
}

// A member that is itself leaving may have transferred its keys already, so it must not acknowledge these.
auto key_authority::onHandover(const member_ref &from, const handover &message, instant at, key_actions &out) -> void
{
    if (m_leaving) {
        return;
    }
    bool allRecorded = true;
    for (const auto &transferred : message.keys) {
        allRecorded = applyTransferredKey(transferred, at, out) && allRecorded;
    }
    if (allRecorded) {
        out.emplace_back(send_action{from, handover_reply{message.correlation}});
    }
}

auto key_authority::applyTransferredKey(const transferred_key &transferred, instant at, key_actions &out) -> bool
{
    const auto key = packKey(transferred.key);
    if (!key) {
        return true;
    }
    auto *record = m_jobs.find(*key);
    if (record == nullptr) {
        record = m_jobs.insert(*key, transferred.digest);
    }
    if (record == nullptr) {
        return false;
    }
    if (record->state == key_state::answered || record->state == key_state::in_progress) {
        return true;
    }
    key_context ctx{*key, *record, at, out};
    if (transferred.answer) {
        record->state = key_state::in_progress;
        resolve(ctx, std::make_shared<const job_answer>(*transferred.answer));
        return true;
    }
    for (const auto &claimant : transferred.claimants) {
        recordClaimant(*record, claimant);
    }
    if (record->holder != 0 || transferred.holder.member.empty() || transferred.holder == m_authority.self()) {
        return true;
    }
    record->holder = m_jobs.indexOf(transferred.holder);
    if (record->inFlight) {
        follow(ctx, transferred.holder);
    } else {
        record->state = key_state::elsewhere;
    }
    return true;
}

auto key_authority::holderOf(const job_record &record) const -> std::optional<member_ref>
{
    if (record.holder != 0) {
        return m_jobs.memberAt(record.holder);
    }
    if (record.promised) {
        return m_jobs.memberAt(record.claimants.back());
    }
    return std::nullopt;
}
} // namespace poplarpass::request
