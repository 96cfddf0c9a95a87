#include <poplarpass/core/parse_integer.h>
#include <poplarpass/owner/claim_rank.h>
#include <poplarpass/owner/owner_monitor.h>

#include <algorithm>
#include <vector>

namespace poplarpass::owner
{
namespace
{
constexpr std::size_t fieldCount = 5;
constexpr core::duration observedOwnerRetention = std::chrono::seconds{30};

auto fieldsOf(std::string_view text) -> std::vector<std::string_view>
{
    std::vector<std::string_view> fields;
    while (!text.empty()) {
        const auto end = std::min(text.find(' '), text.size());
        fields.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return fields;
}
} // namespace

auto electionTimeoutFor(core::duration latency) -> core::duration
{
    return latency <= quickRenewalLimit ? shortElectionTimeout : longElectionTimeout;
}

auto encodeOwnerRecord(const owner_record &record) -> std::string
{
    return std::to_string(static_cast<int>(record.kind)) + " " + std::to_string(record.epoch) + " " + record.host + " "
        + record.address + " " + std::to_string(record.electionTimeout.count());
}

auto decodeOwnerRecord(std::string_view text) -> std::optional<owner_record>
{
    const auto fields = fieldsOf(text);
    if (fields.size() != fieldCount) {
        return std::nullopt;
    }
    const auto kind = core::parseInteger<std::uint64_t>(fields[0]);
    const auto epoch = core::parseInteger<std::uint64_t>(fields[1]);
    const auto electionTimeout = core::parseInteger<std::uint64_t>(fields[4]);
    if (!kind || !epoch || !electionTimeout || *kind > static_cast<std::uint64_t>(owner_record_kind::resignation)) {
        return std::nullopt;
    }
    return owner_record{static_cast<owner_record_kind>(*kind), *epoch, std::string{fields[2]}, std::string{fields[3]},
                        core::duration{static_cast<core::duration::rep>(*electionTimeout)}};
}

auto owner_monitor::onRecord(const owner_record &record, core::monotonic_time now) -> void
{
    if (record.epoch < m_newestEpoch) {
        return;
    }
    m_newestEpoch = record.epoch;
    m_electionTimerStart = now;
    m_isStoreSlow = record.electionTimeout > shortElectionTimeout;
    recordObserved(record, now);
    if (record.kind == owner_record_kind::resignation) {
        m_current.reset();
        m_vacantSince = now;
    } else {
        m_current = record;
    }
}

auto owner_monitor::recordObserved(const owner_record &record, core::monotonic_time now) -> void
{
    const auto found = std::ranges::find(m_observedOwners, record.epoch, &observed_owner::epoch);
    auto &observed = found == m_observedOwners.end() ? m_observedOwners.emplace_back() : *found;
    observed.epoch = record.epoch;
    observed.host = record.host;
    observed.lastSeenAt = now;
    observed.resigned = record.kind == owner_record_kind::resignation;
    std::erase_if(m_observedOwners,
                  [now](const observed_owner &entry) { return now - entry.lastSeenAt > observedOwnerRetention; });
}

// A follower reads a renewal after it was sent, so an owner without a record for longer than orderTerm sends no more
// orders. An owner that resigned had stopped sending orders before.
auto owner_monitor::formerOwners(std::uint64_t epoch, core::monotonic_time now) const -> std::vector<std::string>
{
    std::vector<std::string> former;
    for (const auto &observed : m_observedOwners) {
        if (observed.epoch < epoch && !observed.resigned && now - observed.lastSeenAt <= orderTerm) {
            former.push_back(observed.host);
        }
    }
    return former;
}

auto owner_monitor::onAnnouncement(const owner_record &record, core::monotonic_time now) -> bool
{
    if (record.epoch <= m_newestEpoch) {
        return false;
    }
    m_newestEpoch = record.epoch;
    m_current = record;
    m_electionTimerStart = now;
    recordObserved(record, now);
    return true;
}

// While the store is unreadable, missing renewals are no sign of a failed owner; the election timeout restarts at the
// first answer.
auto owner_monitor::onRead(core::monotonic_time now) -> void
{
    if (!m_readable) {
        m_readable = true;
        m_electionTimerStart = now;
        m_vacantSince = now;
    }
}

auto owner_monitor::onReadFailed() -> void
{
    m_readable = false;
}

auto owner_monitor::current() const -> const std::optional<owner_record> &
{
    return m_current;
}

// An owner on this process's own host is an earlier process of that host, which has ended.
auto owner_monitor::claimDue(std::string_view host, unsigned rank) const -> std::optional<core::monotonic_time>
{
    if (!m_readable) {
        return std::nullopt;
    }
    if (!m_current) {
        return m_vacantSince + claimDelay(rank, m_isStoreSlow);
    }
    if (m_current->host == host) {
        return m_electionTimerStart;
    }
    return m_electionTimerStart + m_current->electionTimeout + claimDelay(rank, m_isStoreSlow);
}

auto owner_monitor::shouldClaim(core::monotonic_time now, std::string_view host, unsigned rank) const -> bool
{
    const auto due = claimDue(host, rank);
    return due && now >= *due;
}

owner_term::owner_term(std::uint64_t epoch, core::monotonic_time claimedAt)
    : m_epoch{epoch}
    , m_renewedAt{claimedAt}
    , m_answerEnd{claimedAt + longElectionTimeout - answerMargin}
{
}

// The renewal may be stored without the owner receiving the answer, so its timeout counts from when it was sent.
auto owner_term::onRenewing(core::monotonic_time sentAt, core::duration electionTimeout) -> void
{
    m_answerEnd = std::min(m_answerEnd, sentAt + electionTimeout - answerMargin);
}

auto owner_term::onRenewed(core::monotonic_time sentAt, core::duration electionTimeout) -> void
{
    m_renewedAt = std::max(m_renewedAt, sentAt);
    m_answerEnd = sentAt + electionTimeout - answerMargin;
}

auto owner_term::mayAnswer(core::monotonic_time now) const -> bool
{
    return now < m_answerEnd;
}

auto owner_term::mayOrder(core::monotonic_time now) const -> bool
{
    return now < m_renewedAt + orderTerm;
}

auto owner_term::epoch() const -> std::uint64_t
{
    return m_epoch;
}
} // namespace poplarpass::owner
