#include <poplarpass/host/constants.h>
#include <poplarpass/host/owner_election.h>

#include <algorithm>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

owner_election::owner_election(const core::time_source &time, const store::record_store &records, observe::logger &log,
                               std::string hostName, std::string address, election_hooks hooks)
    : m_time{time}
    , m_store{records}
    , m_log{log}
    , m_hostName{std::move(hostName)}
    , m_address{std::move(address)}
    , m_hooks{std::move(hooks)}
{
}

auto owner_election::start() -> void
{
    read();
}

// Long-polls the store for the next record. The timeout is shortened so that an expired election timeout is detected in
// time.
auto owner_election::read() -> void
{
    const auto due = m_monitor.claimDue(m_hostName, m_hooks.rank());
    const auto untilDue = due ? *due - m_time.now() : core::duration{0};
    const auto desiredTimeout = m_owner ? core::duration{ownershipReadTimeout} : untilDue;
    const auto timeout = std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(desiredTimeout),
                                    minOwnershipReadTimeout, ownershipReadTimeout);
    m_store.read(store::topic::ownership, m_offset, timeout,
                 m_lifetime.guard([this](const store::read_result &result) { onRead(result); }));
}

auto owner_election::onRead(const store::read_result &result) -> void
{
    if (result.outcome == store::read_outcome::failed) {
        if (!std::exchange(m_storeUnavailable, true)) {
            m_log.log(log_level::warning, "store_lost", {{"topic", "ownership"}, {"effect", "no_takeover"}});
        }
        m_monitor.onReadFailed();
        m_time.callAfter(storeRetryDelay, m_lifetime.guard([this] { read(); }));
        return;
    }
    if (std::exchange(m_storeUnavailable, false)) {
        m_log.log(log_level::info, "store_regained", {{"topic", "ownership"}, {"offset", m_offset}});
    }
    if (result.outcome == store::read_outcome::expired) {
        m_offset = result.firstOffset;
        m_time.callAfter(core::duration{0}, m_lifetime.guard([this] { read(); }));
        return;
    }
    m_readAt = m_time.now();
    m_monitor.onRead(m_readAt);
    for (const auto &record : result.records) {
        applyRecord(record);
        m_offset = record.offset + 1;
    }
    claimIfDue();
    // Renewals arrive at a fixed interval, so the next read may be delayed after one that returned records.
    m_time.callAfter(result.records.empty() ? core::duration{0} : ownershipReadDelay,
                     m_lifetime.guard([this] { read(); }));
}

auto owner_election::applyRecord(const store::stored_record &record) -> void
{
    const auto decoded = owner::decodeOwnerRecord(record.value);
    if (!decoded) {
        m_log.log(log_level::warning, "owner_record_unreadable", {{"offset", record.offset}});
        return;
    }
    const auto before = m_monitor.current();
    m_monitor.onRecord(*decoded, m_time.now());
    if (decoded->kind == owner::owner_record_kind::claim && decoded->epoch == m_claimedEpoch
        && decoded->host == m_hostName) {
        beginTerm(decoded->epoch, m_claimedAt);
    }
    offerFencingToken(*decoded, record.offset);
    const auto &current = m_monitor.current();
    const bool changed = before.has_value() != current.has_value() || (before && before->epoch != current->epoch);
    if (!changed) {
        return;
    }
    m_log.log(log_level::info, "owner_changed",
              {{"owner", current ? current->host : std::string{"none"}},
               {"epoch", decoded->epoch},
               {"offset", record.offset}});
    if (m_owner && decoded->epoch > m_epoch) {
        stepDown();
    }
}

// An epoch is the offset of its claim + 1. The offset of an own renewal that was read before any later claim is greater
// than that of the own claim and less than those of later ones, whatever build their owners run.
auto owner_election::offerFencingToken(const owner::owner_record &record, std::uint64_t offset) -> void
{
    const bool isOwnRenewal = m_owner && record.kind == owner::owner_record_kind::renewal && record.epoch == m_epoch
        && record.host == m_hostName;
    if (isOwnRenewal) {
        m_hooks.onFencingToken(offset + 1);
    }
}

auto owner_election::claimIfDue() -> void
{
    const bool mayClaim = !m_claimsDisabled && !m_onResigned && m_time.now() >= m_noClaimsBefore;
    if (!m_owner && !m_claiming && mayClaim && m_monitor.shouldClaim(m_time.now(), m_hostName, m_hooks.rank())) {
        claim();
    }
}

// The claim is appended conditionally at the end offset that was read, so at most one of several concurrent claims is
// stored. The epoch is derived from its offset, which is unique. The claim carries no fence: claims of several
// processes with the same epoch and sequence number would look like repeats of one append, and the store would report
// success to each of them.
auto owner_election::claim() -> void
{
    m_claiming = true;
    const auto epoch = m_offset + 1;
    const auto sentAt = m_time.now();
    // An earlier claim of the same epoch may be the one that is stored, so the term counts from the first of them.
    if (epoch != m_claimedEpoch) {
        m_claimedAt = sentAt;
    }
    m_log.log(log_level::info, "owner_claim", {{"epoch", epoch}, {"rank", m_hooks.rank()}});
    store::record_append request;
    request.to = store::topic::ownership;
    request.records.push_back(owner::encodeOwnerRecord(
        {owner::owner_record_kind::claim, epoch, m_hostName, m_address, owner::longElectionTimeout}));
    request.expectedEnd = m_offset;
    m_claimedEpoch = epoch;
    m_store.append(std::move(request), m_lifetime.guard([this, epoch, sentAt](const store::append_result &answer) {
        onClaimed(answer, epoch, sentAt);
    }));
}

auto owner_election::onClaimed(const store::append_result &answer, std::uint64_t epoch, core::monotonic_time sentAt)
    -> void
{
    m_claiming = false;
    if (answer.outcome != store::append_outcome::appended) {
        // A claim without a response may still be stored; it is then recognized when it is read back.
        m_log.log(log_level::info, "owner_claim_failed", {{"epoch", epoch}, {"outcome", nameOf(answer.outcome)}});
        return;
    }
    beginTerm(epoch, sentAt);
}

auto owner_election::beginTerm(std::uint64_t epoch, core::monotonic_time sentAt) -> void
{
    if (m_owner || m_claimsDisabled) {
        return;
    }
    m_owner = true;
    m_epoch = epoch;
    m_sequence = 0;
    m_log.log(log_level::info, "owner_elected", {{"epoch", epoch}});
    m_hooks.onElected(epoch, sentAt);
    // The first renewal fences off the renewals of earlier owners.
    renew();
}

auto owner_election::appendOwnerRecord(owner::owner_record_kind kind, core::duration electionTimeout,
                                       std::function<void(store::append_result)> done) -> void
{
    store::record_append request;
    request.to = store::topic::ownership;
    request.records.push_back(owner::encodeOwnerRecord({kind, m_epoch, m_hostName, m_address, electionTimeout}));
    request.fence = store::writer_fence{m_epoch, m_sequence};
    m_store.append(std::move(request), m_lifetime.guard(std::move(done)));
}

auto owner_election::renew() -> void
{
    if (!m_owner) {
        return;
    }
    m_renewing = true;
    m_renewalRepeated = false;
    m_renewalSentAt = m_time.now();
    m_renewalTimeout = owner::electionTimeoutFor(m_renewalLatency);
    m_hooks.onRenewing(m_renewalSentAt, m_renewalTimeout);
    sendRenewal();
}

auto owner_election::sendRenewal() -> void
{
    appendOwnerRecord(owner::owner_record_kind::renewal, m_renewalTimeout,
                      [this, epoch = m_epoch](const store::append_result &answer) { onRenewed(answer, epoch); });
}

// A renewal without an answer may have been stored. The store answers its repeat without storing it again, so the term
// counts from the first sending, and nothing else is sent under its sequence number.
auto owner_election::onRenewed(const store::append_result &answer, std::uint64_t epoch) -> void
{
    if (epoch != m_epoch || (!m_owner && !m_onResigned)) {
        return;
    }
    switch (answer.outcome) {
    case store::append_outcome::appended:
        onRenewalStored();
        return;
    case store::append_outcome::refused:
    case store::append_outcome::rejected:
    case store::append_outcome::unknown:
        m_renewalRepeated = true;
        m_time.callAfter(storeRetryDelay, m_lifetime.guard([this, epoch] {
            if (epoch == m_epoch && (m_owner || m_onResigned)) {
                sendRenewal();
            }
        }));
        return;
    case store::append_outcome::fenced:
    case store::append_outcome::conflict:
    case store::append_outcome::out_of_sequence:
        m_renewing = false;
        if (m_onResigned) {
            sendResignation();
        } else {
            stepDown();
        }
        return;
    }
}

auto owner_election::onRenewalStored() -> void
{
    ++m_sequence;
    m_renewing = false;
    m_renewalLatency = m_time.now() - m_renewalSentAt;
    if (m_onResigned) {
        sendResignation();
        return;
    }
    m_hooks.onRenewed(m_renewalSentAt, m_renewalTimeout);
    // A repeated renewal leaves little of the term, so the next one follows at once.
    const auto delay = m_renewalRepeated ? core::duration{0} : owner::renewalPeriod;
    m_time.callAfter(delay, m_lifetime.guard([this, epoch = m_epoch] {
        if (epoch == m_epoch) {
            renew();
        }
    }));
}

auto owner_election::stepDown() -> void
{
    if (std::exchange(m_owner, false)) {
        m_hooks.onOwnershipLost();
    }
}

auto owner_election::clearOwnership() -> void
{
    m_owner = false;
}

auto owner_election::disableClaims() -> void
{
    m_claimsDisabled = true;
}

auto owner_election::resign(std::function<void()> done) -> void
{
    disableClaims();
    beginResignation(std::move(done));
}

auto owner_election::yield(core::duration pause, std::function<void()> done) -> void
{
    m_noClaimsBefore = m_time.now() + pause;
    beginResignation(std::move(done));
}

auto owner_election::renewalLatency() const -> core::duration
{
    return m_renewalLatency;
}

auto owner_election::beginResignation(std::function<void()> done) -> void
{
    if (!std::exchange(m_owner, false)) {
        done();
        return;
    }
    m_onResigned = std::move(done);
    m_claimedEpoch = 0;
    if (!m_renewing) {
        sendResignation();
    }
}

// The resignation must not share its sequence number with a renewal in flight: the store would treat it as a repeat of
// the renewal and drop it.
auto owner_election::sendResignation() -> void
{
    appendOwnerRecord(owner::owner_record_kind::resignation, owner::electionTimeoutFor(m_renewalLatency),
                      [this](const store::append_result &answer) {
                          const bool shouldRetry = answer.outcome == store::append_outcome::refused
                              || answer.outcome == store::append_outcome::rejected
                              || answer.outcome == store::append_outcome::unknown;
                          if (shouldRetry) {
                              m_time.callAfter(storeRetryDelay, m_lifetime.guard([this] { sendResignation(); }));
                          } else {
                              std::exchange(m_onResigned, nullptr)();
                          }
                      });
}

auto owner_election::onAnnouncement(const owner::owner_record &record) -> void
{
    if (!m_monitor.onAnnouncement(record, m_time.now())) {
        return;
    }
    m_log.log(log_level::info, "owner_changed",
              {{"owner", record.host}, {"epoch", record.epoch}, {"learnt_from", "announcement"}});
    if (m_owner && record.epoch > m_epoch) {
        stepDown();
    }
}

auto owner_election::formerOwners() const -> std::vector<std::string>
{
    return m_monitor.formerOwners(m_epoch, m_time.now());
}

auto owner_election::offset() const -> std::uint64_t
{
    return m_offset;
}

auto owner_election::readAt() const -> core::monotonic_time
{
    return m_readAt;
}

auto owner_election::current() const -> const std::optional<owner::owner_record> &
{
    return m_monitor.current();
}
} // namespace poplarpass::host
