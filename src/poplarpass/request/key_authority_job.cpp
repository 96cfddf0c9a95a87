#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>
#include <utility>

namespace poplarpass::request
{
auto key_authority::follow(step &s, const member_ref &target) -> void
{
    auto &work = beginStep(s, key_state::elsewhere);
    ++work.hops;
    if (work.hops > maxHops) {
        fail(s, core::error_kind::outcome_unknown, "the entries point at each other for this key");
        return;
    }
    work.target = target;
    work.heardAt = s.at.now;
    query(s);
}

auto key_authority::query(step &s) -> void
{
    const auto &work = *s.record.work;
    s.out.emplace_back(send_action{work.target, job_query{work.correlation, unpackKey(s.key), s.record.digest}});
    setTimer(s, s.at.now + jobQueryInterval);
}

// The member that another one waits for is only a hint; the member that was granted the key is definite and recorded.
auto key_authority::redirect(step &s, const member_ref &target) -> void
{
    if (target == m_authority.self()) {
        retryLater(s);
    } else {
        follow(s, target);
    }
}

auto key_authority::learnHolder(step &s, const member_ref &holder) -> void
{
    if (holder != m_authority.self()) {
        s.record.holder = m_jobs.indexOf(holder);
    }
    redirect(s, holder);
}

auto key_authority::onJobQuery(const member_ref &from, const job_query &ask, instant at, key_actions &out) -> void
{
    const auto key = packKey(ask.key);
    if (!key) {
        return;
    }
    job_report report{ask.correlation, ask.key, job_phase::never_seen, {}, std::nullopt};
    auto *record = m_jobs.find(*key);
    if (record == nullptr) {
        out.emplace_back(send_action{from, std::move(report)});
        return;
    }
    step s{*key, *record, at, out};
    const auto holder = holderOf(*record);
    if (ask.digest != 0 && record->digest != 0 && ask.digest != record->digest) {
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
        report.holder = record->work->target;
    } else {
        report.phase = record->work ? job_phase::deciding : job_phase::undecided;
    }
    if (report.phase == job_phase::in_progress || report.phase == job_phase::deciding) {
        join(s, nullptr, remote_waiter{from, ask.correlation, false}, 0);
    }
    out.emplace_back(send_action{from, std::move(report)});
}

auto key_authority::onJobReport(const member_ref &from, const job_report &report, step &s) -> void
{
    auto &work = *s.record.work;
    if (s.record.state != key_state::elsewhere && s.record.state != key_state::forwarding) {
        return;
    }
    if (from != work.target) {
        fail(s, core::error_kind::outcome_unknown, "the entry that had the job was replaced");
        return;
    }
    switch (report.phase) {
    case job_phase::answered:
        settle(s, std::make_shared<const job_answer>(*report.answer));
        return;
    case job_phase::in_progress:
        s.record.holder = m_jobs.indexOf(from);
        s.record.state = key_state::elsewhere;
        work.heardAt = s.at.now;
        return;
    case job_phase::deciding:
        work.heardAt = s.at.now < work.decideBy ? s.at.now : work.heardAt;
        return;
    case job_phase::elsewhere:
        redirect(s, report.holder);
        return;
    case job_phase::undecided:
    case job_phase::never_seen:
        passOn(s);
        return;
    case job_phase::conflict:
        fail(s, core::error_kind::key_conflict, "the key was used with another job");
        return;
    }
}

// Only the target may still dispatch the key, so the request is delegated to it.
auto key_authority::passOn(step &s) -> void
{
    auto &work = *s.record.work;
    if (work.delegated || !work.spec || s.at.now >= work.decideBy || work.hops >= maxHops) {
        fail(s, core::error_kind::outcome_unknown, "no entry could decide about the key");
        return;
    }
    const auto target = work.target;
    forward(s, target, false);
    s.record.state = key_state::elsewhere;
}

auto key_authority::onDelegate(const member_ref &from, const delegate &order, instant at, key_actions &out) -> void
{
    const auto key = packKey(order.spec.key);
    if (!key) {
        return;
    }
    delegate_reply reply{order.correlation, order.spec.key, delegate_status::undecided, {}, std::nullopt};
    const auto record = admit(*key, digestOf(order.spec), at);
    if (!record || order.hops > maxHops || m_leaving) {
        if (!record && record.error().kind == core::error_kind::key_conflict) {
            reply.status = delegate_status::answered;
            reply.answer = tl::make_unexpected(record.error());
        }
        out.emplace_back(send_action{from, std::move(reply)});
        return;
    }
    step s{*key, **record, at, out};
    const auto holder = holderOf(s.record);
    if (holder && s.record.state == key_state::elsewhere) {
        reply.status = delegate_status::held;
        reply.holder = *holder;
        out.emplace_back(send_action{from, std::move(reply)});
        return;
    }
    reply.status = delegate_status::accepted;
    out.emplace_back(send_action{from, std::move(reply)});
    const remote_waiter who{from, order.correlation, true};
    auto spec = std::make_shared<const job_spec>(order.spec);
    if (!acceptGrant(from, order, s)) {
        join(s, std::move(spec), who, order.hops);
        return;
    }
    auto &work = workOf(s);
    work.spec = std::move(spec);
    work.waiters.emplace_back(who);
    hold(s);
}

auto key_authority::acceptGrant(const member_ref &from, const delegate &order, step &s) -> bool
{
    const bool unused = s.record.state == key_state::undecided && !s.record.work && !s.record.promised;
    return order.granted && unused && order.epoch == m_authority.acting().epoch && from == homeOf(s.key);
}

auto key_authority::onDelegateReply(const member_ref &from, const delegate_reply &reply, step &s) -> void
{
    auto &work = *s.record.work;
    if (from != work.target) {
        fail(s, core::error_kind::outcome_unknown, "the entry that had the job was replaced");
        return;
    }
    switch (reply.status) {
    case delegate_status::accepted:
        work.heardAt = s.at.now;
        return;
    case delegate_status::undecided:
        fail(s, core::error_kind::outcome_unknown, "no entry could decide about the key");
        return;
    case delegate_status::held:
        redirect(s, reply.holder);
        return;
    case delegate_status::answered:
        settle(s, std::make_shared<const job_answer>(*reply.answer));
        return;
    }
}

auto key_authority::handOver(instant at) -> key_actions
{
    key_actions out;
    m_leaving = true;
    m_unhanded = 0;
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
        m_unhanded += record.state == key_state::in_progress ? 1 : 0;
        handed_key handed{unpackKey(key), record.digest, m_jobs.memberAt(record.holder), {}, std::nullopt};
        for (const auto claimant : record.claimants) {
            handed.claimants.push_back(m_jobs.memberAt(claimant));
        }
        if (record.holder == 0 && handed.claimants.empty() && !record.answer) {
            return;
        }
        if (record.answer) {
            handed.answer = *record.answer;
        }
        for (const auto &to : successorsOf(key, handed.holder)) {
            auto &batch = batches[to];
            batch.keys.push_back(handed);
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

auto key_authority::handedOver() const -> bool
{
    return m_leaving && m_handovers.empty() && m_unhanded == 0;
}

// A member that is itself leaving may have transferred its keys already, so it must not acknowledge these.
auto key_authority::onHandover(const member_ref &from, const handover &keys, instant at, key_actions &out) -> void
{
    if (m_leaving) {
        return;
    }
    bool whole = true;
    for (const auto &handed : keys.keys) {
        whole = takeHanded(handed, at, out) && whole;
    }
    if (whole) {
        out.emplace_back(send_action{from, handover_reply{keys.correlation}});
    }
}

auto key_authority::takeHanded(const handed_key &handed, instant at, key_actions &out) -> bool
{
    const auto key = packKey(handed.key);
    if (!key) {
        return true;
    }
    auto *record = m_jobs.find(*key);
    if (record == nullptr) {
        record = m_jobs.insert(*key, handed.digest);
    }
    if (record == nullptr) {
        return false;
    }
    if (record->state == key_state::answered || record->state == key_state::in_progress) {
        return true;
    }
    step s{*key, *record, at, out};
    if (handed.answer) {
        record->state = key_state::in_progress;
        settle(s, std::make_shared<const job_answer>(*handed.answer));
        return true;
    }
    for (const auto &claimant : handed.claimants) {
        noteClaimant(*record, claimant);
    }
    if (record->holder != 0 || handed.holder.member.empty() || handed.holder == m_authority.self()) {
        return true;
    }
    record->holder = m_jobs.indexOf(handed.holder);
    if (record->work) {
        follow(s, handed.holder);
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
