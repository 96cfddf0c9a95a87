#include <poplarpass/app/clock.h>
#include <poplarpass/app/control_process.h>
#include <poplarpass/app/process_tree.h>
#include <poplarpass/codec/state_codec.h>
#include <poplarpass/config/calendar.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace poplarpass::app
{
namespace
{
constexpr core::duration decisionPeriod = std::chrono::milliseconds{200};
constexpr core::duration removalTimeout = std::chrono::seconds{3};
constexpr std::size_t maxProbesPerPoll = 64;
constexpr core::duration snapshotTimeout = std::chrono::seconds{10};

} // namespace

auto control_process::controllerHooks() -> control::controller_hooks
{
    control::controller_hooks hooks;
    hooks.calendarIsOpen = config::isOpen;
    hooks.chooseDrains = control::leastLossPolicy(config::isOpen);
    hooks.chooseMoves = [this](const control::move_query &query) {
        return m_movePlanner.choose(query);
    };
    return hooks;
}

control_process::control_process(settings::process_settings processSettings)
    : m_process{std::move(processSettings), "control"}
    , m_fleetLog{m_process.loop,
                 m_process.logService,
                 m_process.settings.deployment.secret,
                 {[this](replication::log_offset, const core::record_id &id, const replication::record &change,
                         const replication::applied &outcome) { onApplied(id, change, outcome); },
                  [this](const replication::fleet_state &state) {
                      m_roleManager.onApplied(core::record_id{}, state.control(), monotonicNow());
                  },
                  [this](core::monotonic_time sentAt) {
                      m_roleManager.onReadToEnd(sentAt);
                      m_peers.updateAddresses(m_fleetLog.state().members());
                  }}}
    , m_peers{m_process,
              {[this](const request::member_ref &from, const request::peer_message &message) {
                   onMessage(from, message);
               },
               [](const core::member_id &, std::uint64_t) {},
               [this](const core::member_id &peer, net::down_reason reason) {
                   onPeerDown(peer, reason);
               }}}
    , m_membership{m_process, m_fleetLog, replication::member_kind::control,
                   [this] {
                       stop();
                   }}
    , m_status{m_process, [this] { return describeState(m_fleetLog.state()); },
               [this] {
                   updateGauges();
               }}
    , m_roleManager{m_process.settings.process.name, m_process.incarnation}
    , m_membershipManager{ownJoinRecord(m_process, replication::member_kind::control, {})}
    , m_movePlanner{{[this](const core::pool_id &pool) { return m_forecast.expectedSlots(pool); }, config::isOpen}}
    , m_hostController{m_process.settings.process.name, m_process.incarnation, controllerHooks()}
{
}

control_process::~control_process() = default;

auto control_process::childSpecs() -> std::vector<child_spec>
{
    return {
        childOf("log", m_fleetLog),
        childOf("peers", m_peers),
        childOf("status", m_status),
        {"decisions",
         [this] {
             const auto &timing = m_process.settings.timing;
             m_tickers.push_back(std::make_unique<ticker>(m_process.loop, decisionPeriod, [this] { tick(); }));
             m_tickers.push_back(
                 std::make_unique<ticker>(m_process.loop, timing.heartbeat, [this] { sendHeartbeat(); }));
             m_tickers.push_back(
                 std::make_unique<ticker>(m_process.loop, timing.hostListPoll, [this] { pollHostList(); }));
             pollHostList();
         },
         [this](const std::function<void()> &done) {
             m_tickers.clear();
             m_membership.leave(true, done);
         }},
    };
}

auto control_process::run() -> void
{
    m_supervisor = std::make_unique<supervisor>(childSpecs(), restart_policy{}, supervisorHooks(m_process));
    runUntilSignal(m_process, *m_supervisor, [this] { stop(); });
}

auto control_process::stop() -> void
{
    if (std::exchange(m_stopping, true)) {
        return;
    }
    m_process.log.log(observe::log_level::info, "stopping");
    m_supervisor->stop([this] { m_process.loop.stop(); });
}

auto control_process::onApplied(const core::record_id &id, const replication::record &change,
                                const replication::applied &outcome) -> void
{
    m_roleManager.onApplied(id, m_fleetLog.state().control(), monotonicNow());
    m_hostController.onApplied(id);
    if (!outcome.accepted && outcome.refusal) {
        m_process.log.log(observe::log_level::info, "record_refused",
                          {{"id", id.str()},
                           {"kind", core::errorSpecOf(outcome.refusal->kind).name},
                           {"detail", outcome.refusal->detail}});
    }
    if (const auto *wave = std::get_if<replication::wave_record>(&change); wave != nullptr && outcome.accepted) {
        m_process.log.log(observe::log_level::info, "wave",
                          {{"wave", wave->wave.str()}, {"action", static_cast<int>(wave->action)}});
    }
}

auto control_process::onMessage(const request::member_ref &from, const request::peer_message &message) -> void
{
    if (const auto *heartbeat = std::get_if<request::heartbeat>(&message)) {
        handleHeartbeat(from, *heartbeat);
    } else if (const auto *report = std::get_if<request::worker_contact_report>(&message)) {
        recordContacts(*report);
    }
}

auto control_process::handleHeartbeat(const request::member_ref &from, const request::heartbeat &heartbeat) -> void
{
    m_liveness.onHeartbeat(from.member, from.incarnation, heartbeat.hears, monotonicNow());
    m_fleetLog.follower().recordPeerOffset(heartbeat.foldedOffset);
    recordDemand(from, heartbeat);
}

// The demand of a pool is the sum of running and queued jobs at all entries with a recent heartbeat.
auto control_process::recordDemand(const request::member_ref &from, const request::heartbeat &heartbeat) -> void
{
    const auto now = monotonicNow();
    m_demand[from.member] = heartbeat.demand;
    for (const auto &changed : heartbeat.demand) {
        double slots = 0;
        for (const auto &[member, demands] : m_demand) {
            if (member != from.member && !m_liveness.hears(member, now)) {
                continue;
            }
            for (const auto &demand : demands) {
                slots += demand.pool == changed.pool ? static_cast<double>(demand.queued + demand.running) : 0.0;
            }
        }
        m_forecast.addDemand(changed.pool, slots, now);
    }
}

auto control_process::recordContacts(const request::worker_contact_report &report) -> void
{
    const auto now = monotonicNow();
    for (const auto &contact : report.sightings) {
        m_contacts.push_back({contact.host, contact.reached, contact.bootId, contact.draining, contact.pool,
                              contact.generation, now - contact.age});
    }
}

auto control_process::onPeerDown(const core::member_id &peer, net::down_reason reason) -> void
{
    if (reason != net::down_reason::refused && reason != net::down_reason::superseded_incarnation) {
        return;
    }
    for (const auto &member : m_fleetLog.state().members()) {
        if (member.joined.member == peer) {
            m_liveness.onTerminated(peer, member.joined.incarnation, monotonicNow());
        }
    }
}

auto control_process::tick() -> void
{
    m_membership.tick(m_peers.advertisedAddress());
    if (m_stopping || !m_fleetLog.follower().hasState()) {
        return;
    }
    claimOrRenewRole();
    const bool mayAct = m_roleManager.mayAct(monotonicNow());
    if (m_mayAct != mayAct) {
        m_process.log.log(observe::log_level::info, mayAct ? "role_taken" : "role_lost",
                          {{"epoch", m_roleManager.epoch()}});
        m_mayAct = mayAct;
        if (!mayAct) {
            m_hostController.onRoleLost();
        }
    }
    if (mayAct) {
        removeMembers();
        runHostController();
        writeSnapshotIfDue();
    }
}

auto control_process::candidates() const -> std::vector<core::member_id>
{
    const auto now = monotonicNow();
    std::vector<core::member_id> live;
    for (const auto &member : m_fleetLog.state().members()) {
        const bool isSelf = member.joined.member == m_process.settings.process.name;
        if (member.joined.kind == replication::member_kind::control
            && (isSelf || m_liveness.hears(member.joined.member, now))) {
            live.push_back(member.joined.member);
        }
    }
    return live;
}

auto control_process::claimOrRenewRole() -> void
{
    if (!m_membership.isMember()) {
        return;
    }
    const auto request = m_roleManager.next(candidates(), monotonicNow());
    if (!request) {
        return;
    }
    m_fleetLog.append(request->id, request->change,
                      [this, id = request->id](const core::result<replication::log_offset> &answer) {
                          m_roleManager.onAppendAnswered(id, answer.has_value());
                      });
}

auto control_process::removeMembers() -> void
{
    for (auto removal :
         m_membershipManager.removals(m_fleetLog.state(), m_liveness, m_roleManager.epoch(), monotonicNow())) {
        if (!m_removing.insert(removal.member).second) {
            continue;
        }
        removal.atUnixMs = static_cast<std::uint64_t>(core::toUnixMilliseconds(wallNow()));
        const core::record_id id{"remove/" + removal.member.str() + '/' + std::to_string(removal.incarnation) + '/'
                                 + std::to_string(removal.controlEpoch)};
        m_process.log.log(observe::log_level::warning, "member_removal", {{"member", removal.member.str()}});
        m_fleetLog.publish(
            id, removal, removalTimeout,
            [this, member = removal.member](const replication::publish_outcome &) { m_removing.erase(member); });
    }
}

auto control_process::runHostController() -> void
{
    control::host_observations observations;
    if (m_hostList) {
        observations.listed = std::span<const platform::listed_host>{*m_hostList};
    }
    observations.sightings = m_contacts;
    observations.outcomes = m_outcomes;
    const auto actions = m_hostController.decide(m_fleetLog.state(), observations, wallNow(), monotonicNow());
    m_hostList.reset();
    m_contacts.clear();
    m_outcomes.clear();
    for (const auto &action : actions) {
        execute(action);
    }
}

auto control_process::execute(const control::control_action &action) -> void
{
    if (const auto *request = std::get_if<control::append_request>(&action)) {
        executeAppend(*request);
    } else if (const auto *order = std::get_if<control::order_action>(&action)) {
        executeOrder(*order);
    } else if (const auto *report = std::get_if<control::report_action>(&action)) {
        logReport(*report);
    }
}

auto control_process::executeAppend(const control::append_request &request) -> void
{
    m_fleetLog.append(request.id, request.change,
                      [this, id = request.id](const core::result<replication::log_offset> &answer) {
                          if (!answer) {
                              m_process.log.log(observe::log_level::warning, "append_unanswered",
                                                {{"id", id.str()}, {"detail", answer.error().detail}});
                          }
                      });
}

auto control_process::executeOrder(const control::order_action &order) -> void
{
    m_process.log.log(observe::log_level::info, "worker_order",
                      {{"host", order.host.str()},
                       {"order", static_cast<int>(order.request.order)},
                       {"epoch", order.request.controlEpoch}});
    m_process.workers.order(order.address, order.request,
                            [this, order](const core::result<platform::order_response> &answer) {
                                m_outcomes.push_back({order.host, order.request, answer});
                            });
}

auto control_process::logReport(const control::report_action &report) -> void
{
    m_process.log.log(observe::log_level::warning, control::nameOf(report.kind),
                      {{"host", report.host.str()}, {"wave", report.wave.str()}, {"detail", report.detail}});
}

auto control_process::writeSnapshotIfDue() -> void
{
    const auto now = monotonicNow();
    const auto &follower = m_fleetLog.follower();
    m_snapshots.recordSnapshot(follower.lastSnapshot(), now);
    if (m_snapshotUnderWay || !m_snapshots.isDue(m_fleetLog.state().offset(), follower.firstOffset(), now)) {
        return;
    }
    const auto bytes = codec::encodeState(m_fleetLog.state());
    const auto parts = m_snapshots.split(m_fleetLog.state().offset(), m_fleetLog.state().digest(), bytes);
    m_snapshotUnderWay = true;
    auto remaining = std::make_shared<std::size_t>(parts.size());
    for (const auto &part : parts) {
        m_fleetLog.publish(
            replication::snapshotRecordId(part), part, snapshotTimeout,
            [this, remaining](const replication::publish_outcome &) { m_snapshotUnderWay = --*remaining != 0; });
    }
    m_process.log.log(observe::log_level::info, "snapshot",
                      {{"offset", m_fleetLog.state().offset()}, {"bytes", bytes.size()}, {"parts", parts.size()}});
}

auto control_process::pollHostList() -> void
{
    m_process.hosts.fetch([this](core::result<std::vector<platform::listed_host>> listed) {
        if (listed) {
            m_hostList = std::move(*listed);
            probeNewHosts();
        }
    });
}

// Entries contact only the hosts in the replicated state, so hosts that are not in it yet are contacted from here. Such
// a host has never been moved, so it must serve the pool given by the host list.
auto control_process::probeNewHosts() -> void
{
    if (!m_mayAct) {
        return;
    }
    std::size_t probes = 0;
    for (const auto &listed : *m_hostList) {
        if (m_fleetLog.state().findHost(listed.host) != nullptr || ++probes > maxProbesPerPoll) {
            continue;
        }
        const auto sentAt = monotonicNow();
        platform::lease_request request{m_process.settings.process.name, listed.pool, 0};
        m_process.workers.lease(
            listed.address, std::move(request),
            [this, host = listed.host, sentAt](const core::result<platform::lease_response> &report) {
                recordProbe(host, sentAt, report);
            });
    }
}

auto control_process::recordProbe(const core::host_id &host, core::monotonic_time sentAt,
                                  const core::result<platform::lease_response> &report) -> void
{
    control::host_contact contact;
    contact.host = host;
    contact.at = sentAt;
    contact.reached = report.has_value();
    if (report) {
        contact.bootId = report->bootId;
        contact.draining = report->leaving;
        contact.pool = report->pool;
        contact.generation = report->generation;
    }
    m_contacts.push_back(std::move(contact));
}

auto control_process::sendHeartbeat() -> void
{
    request::heartbeat heartbeat;
    heartbeat.from = {m_process.settings.process.name, m_process.incarnation};
    heartbeat.epoch = m_fleetLog.state().memberEpoch();
    heartbeat.foldedOffset = m_fleetLog.state().offset();
    heartbeat.stateDigest = m_fleetLog.state().digest();
    heartbeat.leaving = m_stopping;
    heartbeat.controlEpoch = m_roleManager.epoch();
    heartbeat.hears = m_peers.livePeers();
    m_peers.sendHeartbeats(heartbeat);
}

auto control_process::updateGauges() -> void
{
    auto &metrics = m_process.metrics;
    metrics.gaugeOf("poplarpass_control_holder", "Whether this process may act as the holder of the control role")
        .set(m_mayAct ? 1 : 0);
    updateReplicationGauges(m_process, m_fleetLog.state());
}
} // namespace poplarpass::app
