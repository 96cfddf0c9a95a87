#include "fold_world.h"

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
constexpr seconds publishTime{5};
constexpr seconds silenceBeforeClaim{3};
constexpr replication::log_offset retainedRecords = 300;

auto require(bool holds, const std::string &what) -> void
{
    if (!holds) {
        throw std::runtime_error{what};
    }
}
} // namespace

fold_world::fold_world(std::uint64_t seed)
    : m_random{seed}
{
    for (int index = 0; index < readerCount; ++index) {
        m_readers.emplace_back().name = core::member_id{"m" + std::to_string(index)};
        start(m_readers.back());
    }
}

auto fold_world::run(int steps) -> void
{
    for (int index = 0; index < steps; ++index) {
        step();
    }
    heal();
    checkTold();
}

auto fold_world::chance(int percent) -> bool
{
    return static_cast<int>(m_random() % 100) < percent;
}

auto fold_world::below(std::size_t bound) -> std::size_t
{
    return m_random() % bound;
}

auto fold_world::step() -> void
{
    m_now += stepTime;
    if (!m_healing) {
        changeFaults();
    }
    for (std::size_t index = 0; !m_outage && index < m_late.size(); ++index) {
        if (m_late[index].at <= m_now) {
            takeEffect(m_late[index].id, m_late[index].change);
            m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(index--));
        }
    }
    for (std::size_t index = 0; index < m_readers.size(); ++index) {
        auto &target = m_readers[index];
        if (target.frozenUntil > m_now) {
            continue;
        }
        if (m_healing || chance(70)) {
            readLog(target);
        }
        if (index < controlCount && target.follower->hasState()) {
            control(target);
        }
        drivePublications(target);
    }
    if (!m_healing && chance(8)) {
        operate();
    }
}

auto fold_world::changeFaults() -> void
{
    if (chance(m_outage ? 3 : 1)) {
        m_outage = !m_outage;
    }
    if (m_log.nextOffset() > retainedRecords && chance(20)) {
        m_log.trim(m_log.nextOffset() - retainedRecords + below(retainedRecords / 2));
    }
    auto &target = m_readers[below(m_readers.size())];
    if (chance(1)) {
        target.frozenUntil = m_now + milliseconds{100 * below(100)};
    } else if (chance(1)) {
        start(target);
    }
}

auto fold_world::start(reader &target) -> void
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
            m_reached.fromSnapshot += state.offset() > 0 ? 1 : 0;
            for (auto &each : self->publications) {
                each.publisher.stateReplaced(state);
            }
        });
    ++target.incarnation;
    target.revision = 0;
    target.frozenUntil = m_now;
    target.renewalSeen = m_now;
    startFromPeer(target);
}

auto fold_world::startFromPeer(reader &target) -> void
{
    for (const auto &peer : m_readers) {
        if (&peer != &target && peer.follower && peer.frozenUntil <= m_now) {
            target.follower->notePeerOffset(peer.follower->state().offset());
        }
    }
    for (const auto &peer : m_readers) {
        const bool canAsk = m_outage && &peer != &target && peer.frozenUntil <= m_now && peer.follower->hasState();
        if (!canAsk || target.follower->hasState()) {
            continue;
        }
        const auto &state = peer.follower->state();
        const auto taken = target.follower->takePeerState(m_log.encode(state), state.digest());
        m_reached.fromPeer += taken ? 1 : 0;
    }
    checkReader(target);
}

auto fold_world::readLog(reader &target) -> void
{
    const auto from = target.follower->nextRead();
    if (m_outage) {
        target.follower->readFailed(from, {core::error_kind::log_unavailable, {}, {}});
    } else {
        const auto end = m_log.nextOffset();
        const auto missing = !m_healing && chance(10) ? std::min<replication::log_offset>(below(30), end - 1) : 0;
        const auto page = m_log.read(from, 1 + below(64), end - missing);
        if (page) {
            target.follower->pageRead(from, *page, m_now);
        } else {
            target.follower->readFailed(from, page.error());
        }
    }
    m_reached.stuck += target.follower->cannotRecover() ? 1 : 0;
    checkReader(target);
}

auto fold_world::checkReader(reader &target) -> void
{
    if (!target.follower->hasState() || target.follower->state().offset() == 0) {
        return;
    }
    const auto &state = target.follower->state();
    require(state.digest() == m_digests.at(state.offset()), "digest at " + std::to_string(state.offset()));
    require(state.revision() == m_revisions.at(state.offset()), "an accepted revision is lost");
    require(state.revision() >= target.revision, "the revision of " + target.name.str() + " went back");
    target.revision = state.revision();
    require(target.follower->counts().snapshotMismatches == 0, "a snapshot disagrees");
}

auto fold_world::publish(reader &target, replication::record change, bool byOperator) -> void
{
    replication::publish_options options{m_now + publishTime, byOperator, replication::overtakenCheckOf(change)};
    target.publications.push_back(
        {replication::publisher{m_log.freshId(), std::move(options), m_now}, std::move(change), byOperator, {}});
}

auto fold_world::drivePublications(reader &target) -> void
{
    for (auto &each : target.publications) {
        if (each.answer) {
            each.publisher.appendAnswered(*each.answer, m_now);
            each.answer.reset();
        }
        each.publisher.observe(*target.follower);
        each.publisher.tick(m_now);
        if (each.publisher.wantsAppend(m_now)) {
            send(each);
        }
        if (each.publisher.outcome() && each.byOperator) {
            m_told.push_back({each.publisher.id(), std::get<replication::config_record>(each.change).basedOn,
                              *each.publisher.outcome()});
        }
    }
    std::erase_if(target.publications, [](const publication &each) { return each.publisher.outcome().has_value(); });
}

auto fold_world::send(publication &sent) -> void
{
    const auto &id = sent.publisher.id();
    sent.publisher.appendSent();
    const auto lost = core::failure(core::error_kind::log_unavailable);
    const auto fate = m_healing ? 0 : below(100);
    if (m_outage || fate >= 90) {
        sent.answer = lost;
        if (chance(30)) {
            m_late.push_back({m_now + milliseconds{100 * below(80)}, id, sent.change});
        }
        return;
    }
    const auto offset = takeEffect(id, sent.change);
    sent.answer = offset;
    if (fate >= 80) {
        sent.answer = lost;
    } else if (fate >= 75) {
        takeEffect(id, sent.change);
    }
}

auto fold_world::takeEffect(const core::record_id &id, const replication::record &change) -> replication::log_offset
{
    const auto offset = m_log.append(id, change);
    const auto before = m_truth;
    const auto outcome = m_truth.apply(offset, id, change);
    m_digests[offset] = m_truth.digest();
    m_revisions[offset] = m_truth.revision();
    checkTruth(before, change, outcome);
    return offset;
}

auto fold_world::control(reader &target) -> void
{
    const auto &state = target.follower->state();
    const auto &role = state.control();
    if (role.lastRenewal != target.renewal) {
        target.renewal = role.lastRenewal;
        target.renewalSeen = m_now;
    }
    if (role.holder == target.name && role.incarnation == target.incarnation) {
        hold(target);
    } else if (m_now - target.renewalSeen > silenceBeforeClaim && chance(20) && !m_outage) {
        publish(target,
                replication::control_claim_record{target.name, target.incarnation, role.epoch + 1, role.lastRenewal},
                false);
        target.renewalSeen = m_now;
    }
}

auto fold_world::hold(reader &target) -> void
{
    const auto &state = target.follower->state();
    if (chance(10)) {
        publish(target, replication::control_renew_record{state.control().epoch}, false);
    }
    if (chance(30)) {
        publish(target, hostChange(state), false);
    }
    if (chance(5)) {
        publish(target, memberChange(state), false);
    }
    if (chance(2)) {
        const auto action = static_cast<replication::wave_action>(below(4));
        const auto wave = core::wave_id{"w" + std::to_string(below(4) + state.waves().size() / 2)};
        publish(target, replication::wave_record{action, wave, {}, "ana", state.control().epoch}, false);
    }
    target.snapshots.noteSnapshot(target.follower->lastSnapshot(), m_now);
    if (target.snapshots.isDue(state.offset(), target.follower->firstOffset(), m_now)) {
        target.snapshots.noteSnapshot(state.offset(), m_now);
        for (auto &part : m_log.snapshotParts(state)) {
            publish(target, std::move(part), false);
        }
    }
}

// Mostly the next event of the host's life, sometimes any event at all.
auto fold_world::hostChange(const replication::fleet_state &state) -> replication::host_record
{
    const auto listed = makeHost(static_cast<int>(below(poolCount)), static_cast<int>(below(hostsPerPool)));
    const auto *host = state.findHost(listed.host);
    auto record = addRecord(listed, state.control().epoch);
    record.bootId = m_random();
    record.pool = core::pool_id{"p" + std::to_string(below(poolCount))};
    record.wave = state.waves().empty() ? core::wave_id{} : state.waves()[below(state.waves().size())].name;
    if (host == nullptr) {
        return record;
    }
    record.event =
        static_cast<replication::host_event>(below(static_cast<std::size_t>(replication::host_event::remove) + 1));
    if (host->down && chance(70)) {
        record.event = replication::host_event::up;
    } else if (chance(80)) {
        constexpr std::array next{replication::host_event::drain_start, replication::host_event::drained,
                                  replication::host_event::join, replication::host_event::reboot_start,
                                  replication::host_event::returned};
        record.event = next[static_cast<std::size_t>(host->phase)];
        record.pool = host->movingTo.empty() ? record.pool : host->movingTo;
        if (host->phase == replication::host_phase::serving && chance(40)) {
            record.event = replication::host_event::leave;
        }
    }
    return record;
}

auto fold_world::memberChange(const replication::fleet_state &state) -> replication::record
{
    const auto name = core::member_id{"e" + std::to_string(below(4))};
    const std::uint64_t incarnation = 1 + below(6);
    const auto at = static_cast<std::uint64_t>(m_now.time_since_epoch().count() / 1000);
    if (chance(30)) {
        return replication::removal_settled_record{state.entries().epoch, at};
    }
    if (chance(50)) {
        return replication::member_leave_record{name, incarnation, chance(50) ? state.control().epoch : 0, at,
                                                chance(50)};
    }
    return replication::member_join_record{name, replication::member_kind::entry, incarnation, "10.0.0.1:1", {}, {},
                                           at};
}

// Two operators at two readers, who may start from the same revision.
auto fold_world::operate() -> void
{
    for (int count = 0; count < 2; ++count) {
        auto &target = m_readers[below(m_readers.size())];
        if (target.frozenUntil <= m_now && target.follower->hasState()) {
            const auto demand = static_cast<int>(4 + below(14));
            publish(target,
                    replication::config_record{target.follower->state().revision(), "ana", std::to_string(demand),
                                               makeConfig(poolCount, demand)},
                    true);
        }
    }
}

auto fold_world::heal() -> void
{
    constexpr int healingSteps = 400;
    m_healing = true;
    m_outage = false;
    for (auto &target : m_readers) {
        target.frozenUntil = m_now;
    }
    for (int index = 0; index < healingSteps; ++index) {
        step();
    }
    for (auto &target : m_readers) {
        for (int read = 0; read < healingSteps && target.follower->nextRead() != m_log.nextOffset(); ++read) {
            readLog(target);
        }
        require(target.follower->hasState(), target.name.str() + " has no state after healing");
        require(target.follower->state().digest() == m_truth.digest(), target.name.str() + " differs after healing");
    }
}
} // namespace tests
