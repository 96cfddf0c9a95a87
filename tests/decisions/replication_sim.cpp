#include "replication_sim.h"

#include <stdexcept>

namespace tests
{
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr int readerCount = 5;
constexpr int controlCount = 2;
constexpr int poolCount = 3;
constexpr int hostsPerPool = 8;
constexpr milliseconds stepTime{100};
constexpr seconds publishTimeout{5};
constexpr seconds claimTimeout{3};
constexpr replication::log_offset retainedRecords = 300;

auto require(bool holds, const std::string &what) -> void
{
    if (!holds) {
        throw std::runtime_error{what};
    }
}
} // namespace

replication_sim::replication_sim(std::uint64_t seed)
    : m_random{seed}
{
    for (int index = 0; index < readerCount; ++index) {
        m_readers.emplace_back().name = core::member_id{"m" + std::to_string(index)};
        start(m_readers.back());
    }
}

auto replication_sim::run(int steps) -> void
{
    for (int index = 0; index < steps; ++index) {
        step();
    }
    recover();
    checkReportedOutcomes();
}

auto replication_sim::randomChance(int percent) -> bool
{
    return static_cast<int>(m_random() % 100) < percent;
}

auto replication_sim::randomBelow(std::size_t bound) -> std::size_t
{
    return m_random() % bound;
}

auto replication_sim::step() -> void
{
    m_now += stepTime;
    if (!m_recovering) {
        changeFaults();
    }
    for (std::size_t index = 0; !m_outage && index < m_delayedAppends.size(); ++index) {
        if (m_delayedAppends[index].at <= m_now) {
            appendAndApply(m_delayedAppends[index].id, m_delayedAppends[index].change);
            m_delayedAppends.erase(m_delayedAppends.begin() + static_cast<std::ptrdiff_t>(index--));
        }
    }
    for (std::size_t index = 0; index < m_readers.size(); ++index) {
        auto &target = m_readers[index];
        if (target.frozenUntil > m_now) {
            continue;
        }
        if (m_recovering || randomChance(70)) {
            readLog(target);
        }
        if (index < controlCount && target.follower->hasState()) {
            runControlRole(target);
        }
        drivePublications(target);
    }
    if (!m_recovering && randomChance(8)) {
        publishRevisions();
    }
}

auto replication_sim::changeFaults() -> void
{
    if (randomChance(m_outage ? 3 : 1)) {
        m_outage = !m_outage;
    }
    if (m_log.nextOffset() > retainedRecords && randomChance(20)) {
        m_log.trim(m_log.nextOffset() - retainedRecords + randomBelow(retainedRecords / 2));
    }
    auto &target = m_readers[randomBelow(m_readers.size())];
    if (randomChance(1)) {
        target.frozenUntil = m_now + milliseconds{100 * randomBelow(100)};
    } else if (randomChance(1)) {
        start(target);
    }
}

auto replication_sim::start(reader &target) -> void
{
    auto *const self = &target;
    target.publications.clear();
    target.follower = std::make_unique<replication::log_follower>(
        m_log.decoder(),
        [self](replication::log_offset offset, const core::record_id &id, const replication::record &,
               const replication::applied &outcome) {
            for (auto &each : self->publications) {
                each.publisher.recordApplied(offset, id, outcome);
            }
        },
        [this, self](const replication::fleet_state &state) {
            m_counts.stateInstalls += state.offset() > 0 ? 1 : 0;
            for (auto &each : self->publications) {
                each.publisher.stateReplaced(state);
            }
        });
    ++target.incarnation;
    target.revision = 0;
    target.frozenUntil = m_now;
    target.renewalSeenAt = m_now;
    startFromPeer(target);
}

auto replication_sim::startFromPeer(reader &target) -> void
{
    for (const auto &peer : m_readers) {
        if (&peer != &target && peer.follower && peer.frozenUntil <= m_now) {
            target.follower->recordPeerOffset(peer.follower->state().offset());
        }
    }
    for (const auto &peer : m_readers) {
        const bool canServe = m_outage && &peer != &target && peer.frozenUntil <= m_now && peer.follower->hasState();
        if (!canServe || target.follower->hasState()) {
            continue;
        }
        const auto &state = peer.follower->state();
        const auto installed = target.follower->installPeerState(m_log.encode(state), state.digest());
        m_counts.peerInstalls += installed ? 1 : 0;
    }
    checkReader(target);
}

auto replication_sim::readLog(reader &target) -> void
{
    const auto from = target.follower->nextRead();
    if (m_outage) {
        target.follower->readFailed(from, {core::error_kind::log_unavailable, {}, {}});
    } else {
        const auto end = m_log.nextOffset();
        const auto missing =
            !m_recovering && randomChance(10) ? std::min<replication::log_offset>(randomBelow(30), end - 1) : 0;
        const auto page = m_log.read(from, 1 + randomBelow(64), end - missing);
        if (page) {
            target.follower->pageRead(from, *page, m_now);
        } else {
            target.follower->readFailed(from, page.error());
        }
    }
    m_counts.unrecoverableReads += target.follower->cannotRecover() ? 1 : 0;
    checkReader(target);
}

auto replication_sim::checkReader(reader &target) -> void
{
    if (!target.follower->hasState() || target.follower->state().offset() == 0) {
        return;
    }
    const auto &state = target.follower->state();
    require(state.digest() == m_digests.at(state.offset()),
            "wrong state digest at offset " + std::to_string(state.offset()));
    require(state.revision() == m_revisions.at(state.offset()), "an accepted revision was lost");
    require(state.revision() >= target.revision, "the revision of " + target.name.str() + " decreased");
    target.revision = state.revision();
    require(target.follower->counts().snapshotMismatches == 0, "a snapshot differs from the local state");
}

auto replication_sim::publish(reader &target, replication::record change, bool byOperator) -> void
{
    replication::publish_options options{m_now + publishTimeout, byOperator, replication::supersededCheckOf(change)};
    target.publications.push_back(
        {replication::publisher{m_log.newId(), std::move(options), m_now}, std::move(change), byOperator, {}});
}

auto replication_sim::drivePublications(reader &target) -> void
{
    for (auto &each : target.publications) {
        if (each.answer) {
            each.publisher.appendCompleted(*each.answer, m_now);
            each.answer.reset();
        }
        each.publisher.observe(*target.follower);
        each.publisher.tick(m_now);
        if (each.publisher.shouldAppend(m_now)) {
            send(each);
        }
        if (each.publisher.outcome() && each.byOperator) {
            m_reportedOutcomes.push_back({each.publisher.id(),
                                          std::get<replication::config_record>(each.change).basedOn,
                                          *each.publisher.outcome()});
        }
    }
    std::erase_if(target.publications, [](const publication &each) { return each.publisher.outcome().has_value(); });
}

auto replication_sim::send(publication &sent) -> void
{
    const auto &id = sent.publisher.id();
    sent.publisher.appendSent();
    const auto lostAnswer = core::failure(core::error_kind::log_unavailable);
    const auto faultRoll = m_recovering ? 0 : randomBelow(100);
    if (m_outage || faultRoll >= 90) {
        sent.answer = lostAnswer;
        if (randomChance(30)) {
            m_delayedAppends.push_back({m_now + milliseconds{100 * randomBelow(80)}, id, sent.change});
        }
        return;
    }
    const auto offset = appendAndApply(id, sent.change);
    sent.answer = offset;
    if (faultRoll >= 80) {
        sent.answer = lostAnswer;
    } else if (faultRoll >= 75) {
        appendAndApply(id, sent.change);
    }
}

auto replication_sim::appendAndApply(const core::record_id &id, const replication::record &change)
    -> replication::log_offset
{
    const auto offset = m_log.append(id, change);
    const auto before = m_referenceState;
    const auto outcome = m_referenceState.apply(offset, id, change);
    m_digests[offset] = m_referenceState.digest();
    m_revisions[offset] = m_referenceState.revision();
    checkTransition(before, change, outcome);
    return offset;
}

auto replication_sim::runControlRole(reader &target) -> void
{
    const auto &state = target.follower->state();
    const auto &role = state.control();
    if (role.lastRenewal != target.lastRenewal) {
        target.lastRenewal = role.lastRenewal;
        target.renewalSeenAt = m_now;
    }
    if (role.holder == target.name && role.incarnation == target.incarnation) {
        actAsHolder(target);
    } else if (m_now - target.renewalSeenAt > claimTimeout && randomChance(20) && !m_outage) {
        publish(target,
                replication::control_claim_record{target.name, target.incarnation, role.epoch + 1, role.lastRenewal},
                false);
        target.renewalSeenAt = m_now;
    }
}

auto replication_sim::actAsHolder(reader &target) -> void
{
    const auto &state = target.follower->state();
    if (randomChance(10)) {
        publish(target, replication::control_renew_record{state.control().epoch}, false);
    }
    if (randomChance(30)) {
        publish(target, hostChange(state), false);
    }
    if (randomChance(5)) {
        publish(target, memberChange(state), false);
    }
    if (randomChance(2)) {
        const auto action = static_cast<replication::wave_action>(randomBelow(4));
        const auto wave = core::wave_id{"w" + std::to_string(randomBelow(4) + state.waves().size() / 2)};
        publish(target, replication::wave_record{action, wave, {}, "ana", state.control().epoch}, false);
    }
    target.snapshots.recordSnapshot(target.follower->lastSnapshot(), m_now);
    if (target.snapshots.isDue(state.offset(), target.follower->firstOffset(), m_now)) {
        target.snapshots.recordSnapshot(state.offset(), m_now);
        for (auto &part : m_log.snapshotParts(state)) {
            publish(target, std::move(part), false);
        }
    }
}

// Mostly the next event of the host's lifecycle, sometimes an arbitrary one.
auto replication_sim::hostChange(const replication::fleet_state &state) -> replication::host_record
{
    const auto listed = makeHost(static_cast<int>(randomBelow(poolCount)), static_cast<int>(randomBelow(hostsPerPool)));
    const auto *host = state.findHost(listed.host);
    auto record = addRecord(listed, state.control().epoch);
    record.bootId = m_random();
    record.pool = core::pool_id{"p" + std::to_string(randomBelow(poolCount))};
    record.wave = state.waves().empty() ? core::wave_id{} : state.waves()[randomBelow(state.waves().size())].name;
    if (host == nullptr) {
        return record;
    }
    record.event = static_cast<replication::host_event>(
        randomBelow(static_cast<std::size_t>(replication::host_event::remove) + 1));
    if (host->down && randomChance(70)) {
        record.event = replication::host_event::up;
    } else if (randomChance(80)) {
        constexpr std::array next{replication::host_event::drain_start, replication::host_event::drained,
                                  replication::host_event::join, replication::host_event::reboot_start,
                                  replication::host_event::returned};
        record.event = next[static_cast<std::size_t>(host->phase)];
        record.pool = host->movingTo.empty() ? record.pool : host->movingTo;
        if (host->phase == replication::host_phase::serving && randomChance(40)) {
            record.event = replication::host_event::leave;
        }
    }
    return record;
}

auto replication_sim::memberChange(const replication::fleet_state &state) -> replication::record
{
    const auto name = core::member_id{"e" + std::to_string(randomBelow(4))};
    const std::uint64_t incarnation = 1 + randomBelow(6);
    const auto at = static_cast<std::uint64_t>(m_now.time_since_epoch().count() / 1000);
    if (randomChance(30)) {
        return replication::removal_settled_record{state.entries().epoch, at};
    }
    if (randomChance(50)) {
        return replication::member_leave_record{name, incarnation, randomChance(50) ? state.control().epoch : 0, at,
                                                randomChance(50)};
    }
    return replication::member_join_record{name, replication::member_kind::entry, incarnation, "10.0.0.1:1", {}, {},
                                           at};
}

// Publishes two revisions at random readers; those with the same base revision conflict.
auto replication_sim::publishRevisions() -> void
{
    for (int count = 0; count < 2; ++count) {
        auto &target = m_readers[randomBelow(m_readers.size())];
        if (target.frozenUntil <= m_now && target.follower->hasState()) {
            const auto demand = static_cast<int>(4 + randomBelow(14));
            publish(target,
                    replication::config_record{target.follower->state().revision(), "ana", std::to_string(demand),
                                               makeConfig(poolCount, demand)},
                    true);
        }
    }
}

auto replication_sim::recover() -> void
{
    constexpr int recoverySteps = 400;
    m_recovering = true;
    m_outage = false;
    for (auto &target : m_readers) {
        target.frozenUntil = m_now;
    }
    for (int index = 0; index < recoverySteps; ++index) {
        step();
    }
    for (auto &target : m_readers) {
        for (int read = 0; read < recoverySteps && target.follower->nextRead() != m_log.nextOffset(); ++read) {
            readLog(target);
        }
        require(target.follower->hasState(), target.name.str() + " has no state after the end of all faults");
        require(target.follower->state().digest() == m_referenceState.digest(),
                target.name.str() + " differs from the reference state after the end of all faults");
    }
}
} // namespace tests
