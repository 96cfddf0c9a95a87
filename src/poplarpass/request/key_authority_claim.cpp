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
auto key_authority::claim(step &s, bool homeSilent) -> void
{
    const auto home = homeOf(s.key);
    const auto since = m_authority.actsSince(home.member);
    const bool withoutHome = homeSilent && since && mintTimeOf(s.key) > *since + mintMargin;
    auto &work = beginStep(s, key_state::claiming);
    for (const auto &member : m_authority.acting().members) {
        if (member == m_authority.self() || (withoutHome && member == home)) {
            continue;
        }
        if (m_down.contains(member.member)) {
            fail(s, core::error_kind::outcome_unknown, "a member that may know the key cannot be reached");
            return;
        }
        work.required.push_back(member);
    }
    if (withoutHome && work.required.empty()) {
        fail(s, core::error_kind::home_unreachable, "no second member would know of the key");
        return;
    }
    for (const auto &member : work.required) {
        s.out.emplace_back(
            send_action{member, promise_request{work.correlation, work.epoch, unpackKey(s.key), s.record.digest}});
    }
    setTimer(s, s.at.now + peerReplyTimeout);
    if (work.required.empty()) {
        completeClaim(s);
    }
}

// Another claimant may have dispatched the key unless it has promised not to.
auto key_authority::completeClaim(step &s) -> void
{
    const auto &work = *s.record.work;
    const bool rivalsPromised = std::ranges::all_of(
        work.claimants, [&work](const member_ref &claimant) { return includes(work.promisers, claimant); });
    if (!rivalsPromised) {
        fail(s, core::error_kind::outcome_unknown, "a member that claimed the key before is gone");
        return;
    }
    if (m_authority.knowledgeOf(s.record.minted) == knowledge::lost) {
        fail(s, core::error_kind::outcome_unknown, "every member that knew the key may be gone");
        return;
    }
    hold(s);
}

auto key_authority::onPromiseRequest(const member_ref &from, const promise_request &ask, instant at, key_actions &out)
    -> void
{
    const auto key = packKey(ask.key);
    promise_reply reply;
    reply.correlation = ask.correlation;
    reply.epoch = m_authority.acting().epoch;
    reply.key = ask.key;
    if (!key) {
        return;
    }
    if (ask.epoch == reply.epoch && contains(m_authority.acting(), from)) {
        const auto record = admit(*key, ask.digest, at);
        if (!record && record.error().kind != core::error_kind::key_conflict) {
            return;
        }
        if (!record) {
            reply.status = promise_status::conflict;
        } else {
            step s{*key, **record, at, out};
            decidePromise(from, s, reply);
        }
    }
    out.emplace_back(send_action{from, std::move(reply)});
}

auto key_authority::decidePromise(const member_ref &from, step &s, promise_reply &reply) -> void
{
    const auto &record = s.record;
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
    const bool deciding = record.state == key_state::asking || record.state == key_state::claiming;
    if (deciding && precedes(s.key, m_authority.self(), from)) {
        reply.status = promise_status::deciding;
        return;
    }
    promiseTo(from, s, reply);
}

// The promise binds towards all claimants, so several may receive it; each reply lists the other claimants.
auto key_authority::promiseTo(const member_ref &claimant, step &s, promise_reply &reply) -> void
{
    const auto index = m_jobs.indexOf(claimant);
    reply.status = promise_status::promised;
    for (const auto other : s.record.claimants) {
        if (other != index) {
            reply.claimants.push_back(m_jobs.memberAt(other));
        }
    }
    noteClaimant(s.record, claimant);
    s.record.promised = true;
    if (s.record.state == key_state::asking || s.record.state == key_state::claiming) {
        follow(s, claimant);
    }
}

auto key_authority::noteClaimant(job_record &record, const member_ref &claimant) -> void
{
    const auto index = m_jobs.indexOf(claimant);
    std::erase(record.claimants, index);
    record.claimants.push_back(index);
}

auto key_authority::onPromiseReply(const member_ref &from, const promise_reply &reply, step &s) -> void
{
    if (s.record.state != key_state::claiming) {
        return;
    }
    auto &work = *s.record.work;
    if (work.epoch != m_authority.acting().epoch) {
        retryLater(s);
        return;
    }
    switch (reply.status) {
    case promise_status::promised:
        addOnce(work.promisers, from);
        for (const auto &claimant : reply.claimants) {
            if (claimant != m_authority.self()) {
                addOnce(work.claimants, claimant);
            }
        }
        if (std::ranges::all_of(work.required,
                                [&work](const member_ref &member) { return includes(work.promisers, member); })) {
            completeClaim(s);
        }
        return;
    case promise_status::known:
        learnHolder(s, reply.holder);
        return;
    case promise_status::deciding:
        follow(s, from);
        return;
    case promise_status::answered:
        settle(s, std::make_shared<const job_answer>(*reply.answer));
        return;
    case promise_status::wrong_epoch:
        retryLater(s);
        return;
    case promise_status::conflict:
        fail(s, core::error_kind::key_conflict, "the key was used with another job");
        return;
    }
}

auto key_authority::precedes(const packed_key &key, const member_ref &left, const member_ref &right) const -> bool
{
    const std::vector<core::member_id> pair{left.member, right.member};
    return core::rendezvousHome(unpackKey(key).str(), pair) == left.member;
}
} // namespace poplarpass::request
