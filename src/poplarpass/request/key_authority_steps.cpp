#include <poplarpass/request/constants.h>
#include <poplarpass/request/key_authority.h>

#include <algorithm>

namespace poplarpass::request
{
namespace
{
auto isUndecided(key_state state) -> bool
{
    return state == key_state::asking || state == key_state::claiming || state == key_state::forwarding;
}
} // namespace

auto key_authority::setTimer(step &s, core::monotonic_time due) -> void
{
    workOf(s).stepDeadline = due;
    m_timers.push(timer{due, s.key});
}

auto key_authority::runTimer(step &s) -> void
{
    auto &work = *s.record.work;
    if (work.retry) {
        work.retry = false;
        decide(s);
        return;
    }
    switch (s.record.state) {
    case key_state::asking:
        claim(s, true);
        return;
    case key_state::claiming:
        fail(s, core::error_kind::outcome_unknown, "a member did not answer a claim");
        return;
    case key_state::forwarding:
    case key_state::elsewhere:
        if (s.at.now - work.heardAt >= jobSilenceTimeout) {
            fail(s, core::error_kind::outcome_unknown, "the entry that has the job does not answer");
            return;
        }
        query(s);
        return;
    case key_state::undecided:
    case key_state::in_progress:
    case key_state::answered:
        return;
    }
}

auto key_authority::retryLater(step &s) -> void
{
    if (s.at.now + epochRetryPause > workOf(s).decideBy) {
        fail(s, core::error_kind::home_unreachable, "the entries do not agree on the member list yet");
        return;
    }
    workOf(s).correlation = ++m_lastCorrelation;
    workOf(s).retry = true;
    setTimer(s, s.at.now + epochRetryPause);
}

// The new correlation causes replies to the previous step to be ignored.
auto key_authority::beginStep(step &s, key_state state) -> key_work &
{
    auto &work = workOf(s);
    s.record.state = state;
    work.correlation = ++m_lastCorrelation;
    work.epoch = m_authority.acting().epoch;
    work.retry = false;
    work.required.clear();
    work.promisers.clear();
    work.claimants.clear();
    return work;
}

auto key_authority::workOf(step &s) -> key_work &
{
    if (!s.record.work) {
        s.record.work = std::make_unique<key_work>();
        m_active.insert(s.key);
    }
    return *s.record.work;
}

auto key_authority::dropWork(step &s) -> void
{
    s.record.work.reset();
    m_active.erase(s.key);
    if (s.record.state != key_state::answered && s.record.state != key_state::in_progress) {
        s.record.state = s.record.holder != 0 ? key_state::elsewhere : key_state::undecided;
    }
}

// Promises and grants are valid only in the epoch in which they were requested.
auto key_authority::restartUndecided(instant at, key_actions &out) -> void
{
    for (const auto &key : activeKeys()) {
        auto *record = m_jobs.find(key);
        if (isUndecided(record->state)) {
            step s{key, *record, at, out};
            decide(s);
        }
    }
}

auto key_authority::memberLost(step &s, const core::member_id &member) -> void
{
    const auto &work = *s.record.work;
    if (work.retry) {
        return;
    }
    if (s.record.state == key_state::asking && work.target.member == member) {
        claim(s, true);
        return;
    }
    const bool waitsForTarget = s.record.state == key_state::forwarding || s.record.state == key_state::elsewhere;
    if (waitsForTarget && work.target.member == member) {
        fail(s, core::error_kind::outcome_unknown, "the entry that has the job cannot be reached");
        return;
    }
    const bool needed = std::ranges::find(work.required, member, &member_ref::member) != work.required.end();
    const bool promised = std::ranges::find(work.promisers, member, &member_ref::member) != work.promisers.end();
    if (s.record.state == key_state::claiming && needed && !promised) {
        fail(s, core::error_kind::outcome_unknown, "a member that may know the key cannot be reached");
    }
}

auto key_authority::activeKeys() const -> std::vector<packed_key>
{
    return {m_active.begin(), m_active.end()};
}
} // namespace poplarpass::request
