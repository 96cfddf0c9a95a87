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
auto key_authority::decideAsHome(step &s) -> void
{
    const auto next = nextInOrder(s.key);
    const bool single = m_authority.acting().members.size() == 1;
    if (single) {
        claim(s, false);
        return;
    }
    if (!next) {
        fail(s, core::error_kind::home_unreachable, "no other entry can be reached");
        return;
    }
    const bool granted = s.record.claimants.empty() && knowsAll(s.key, s.at.now);
    if (granted) {
        s.record.holder = m_jobs.indexOf(*next);
    }
    forward(s, *next, granted);
}

auto key_authority::forward(step &s, const member_ref &target, bool granted) -> void
{
    auto &work = beginStep(s, granted ? key_state::elsewhere : key_state::forwarding);
    work.target = target;
    work.heardAt = s.at.now;
    work.delegated = true;
    s.out.emplace_back(send_action{target, delegate{work.correlation, work.epoch, granted, work.hops + 1, *work.spec}});
    setTimer(s, s.at.now + jobQueryInterval);
}

auto key_authority::nextInOrder(const packed_key &key) const -> std::optional<member_ref>
{
    const auto names = namesOf(m_authority.acting());
    for (const auto &name : core::rendezvousOrder(unpackKey(key).str(), names)) {
        if (name != m_authority.self().member && !m_down.contains(name)) {
            return m_authority.actingMember(name);
        }
    }
    return std::nullopt;
}

// Two members, including the holder, must have a record of the key after this one has left. Members that are about to
// be removed do not count, so the newest list is used instead of the active one.
auto key_authority::successorsOf(const packed_key &key, const member_ref &holder) -> std::vector<member_ref>
{
    const auto &list = m_authority.newest();
    const bool holderStays = holder != m_authority.self() && contains(list, holder);
    const auto others = list.members.size() - (contains(list, m_authority.self()) ? 1 : 0);
    const auto wanted = std::min<std::size_t>(others, copiesOfKey) - (holderStays ? 1 : 0);
    std::vector<member_ref> successors;
    for (const auto &name : core::rendezvousOrder(unpackKey(key).str(), namesOf(list))) {
        const auto member = *std::ranges::find(list.members, name, &member_ref::member);
        const bool knows = member == m_authority.self() || member == holder;
        if (!knows && !m_down.contains(name) && successors.size() < wanted) {
            successors.push_back(member);
        }
    }
    m_unhanded += others > 0 && successors.size() == wanted ? 0 : 1;
    return successors;
}

auto key_authority::homeOf(const packed_key &key) const -> member_ref
{
    const auto names = namesOf(m_authority.acting());
    return *m_authority.actingMember(core::rendezvousHome(unpackKey(key).str(), names));
}

// A key minted after every member had adopted the active epoch was never granted by another coordinator.
auto key_authority::knowsAll(const packed_key &key, core::monotonic_time now) const -> bool
{
    const auto established = m_authority.establishedAt();
    return !m_leaving && established && m_authority.mayGrantAlone(now) && mintTimeOf(key) > *established + mintMargin;
}

auto key_authority::askHome(step &s, const member_ref &home) -> void
{
    auto &work = beginStep(s, key_state::asking);
    work.target = home;
    s.out.emplace_back(
        send_action{home, grant_request{work.correlation, work.epoch, unpackKey(s.key), s.record.digest}});
    setTimer(s, s.at.now + peerReplyTimeout);
}

auto key_authority::onGrantRequest(const member_ref &from, const grant_request &ask, instant at, key_actions &out)
    -> void
{
    const auto key = packKey(ask.key);
    grant_reply reply{ask.correlation, m_authority.acting().epoch, ask.key, grant_status::wrong_epoch, {},
                      std::nullopt};
    if (!key) {
        return;
    }
    if (ask.epoch == reply.epoch && contains(m_authority.acting(), from) && homeOf(*key) == m_authority.self()) {
        const auto record = admit(*key, ask.digest, at);
        if (record) {
            step s{*key, **record, at, out};
            decideGrant(from, s, reply);
        } else {
            const bool conflict = record.error().kind == core::error_kind::key_conflict;
            reply.status = conflict ? grant_status::conflict : grant_status::not_fresh;
        }
    }
    out.emplace_back(send_action{from, std::move(reply)});
}

auto key_authority::decideGrant(const member_ref &from, step &s, grant_reply &reply) -> void
{
    const auto &record = s.record;
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
    if (!record.claimants.empty() || record.state == key_state::forwarding || !knowsAll(s.key, s.at.now)) {
        reply.status = m_authority.mayAct(s.at.now) ? grant_status::claim_needed : grant_status::not_fresh;
        return;
    }
    s.record.holder = m_jobs.indexOf(from);
    reply.status = grant_status::granted;
    if (s.record.work) {
        follow(s, from);
        return;
    }
    s.record.state = key_state::elsewhere;
}

auto key_authority::onGrantReply(const grant_reply &reply, step &s) -> void
{
    if (s.record.state != key_state::asking) {
        return;
    }
    if (s.record.work->epoch != m_authority.acting().epoch) {
        retryLater(s);
        return;
    }
    switch (reply.status) {
    case grant_status::granted:
        hold(s);
        return;
    case grant_status::held:
        learnHolder(s, reply.holder);
        return;
    case grant_status::answered:
        settle(s, std::make_shared<const job_answer>(*reply.answer));
        return;
    case grant_status::claim_needed:
    case grant_status::not_fresh:
        claim(s, false);
        return;
    case grant_status::wrong_epoch:
        retryLater(s);
        return;
    case grant_status::conflict:
        fail(s, core::error_kind::key_conflict, "the key was used with another job");
        return;
    }
}
} // namespace poplarpass::request
