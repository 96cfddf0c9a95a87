#include <poplarpass/app/clock.h>
#include <poplarpass/app/entry_process.h>
#include <poplarpass/app/process_tree.h>
#include <poplarpass/codec/state_codec.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplarpass::app
{
namespace
{
constexpr core::duration decisionTick = std::chrono::milliseconds{20};
constexpr core::duration leaseTick = std::chrono::milliseconds{100};
constexpr core::duration contactReportPeriod = std::chrono::seconds{1};
constexpr core::duration stopTick = std::chrono::milliseconds{50};
constexpr core::duration transferTimeout = std::chrono::seconds{3};
constexpr core::duration settlementTimeout = std::chrono::seconds{5};
constexpr core::duration linkConnectTimeout = std::chrono::seconds{1};

auto serverLimits(const settings::limit_settings &limits) -> net::server_limits
{
    net::server_limits server;
    server.bodyBytes = limits.maxBodyBytes;
    server.readTimeout = limits.requestReadTimeout;
    server.maxConnections = limits.maxConnections;
    return server;
}

auto tableLimits(const settings::limit_settings &limits) -> request::job_table_limits
{
    return {static_cast<std::size_t>(limits.maxRememberedKeys), request::maxAnswerBytes};
}

auto toWallTime(std::uint64_t unixMs) -> core::wall_time
{
    return core::fromUnixMilliseconds(static_cast<std::int64_t>(unixMs));
}

auto toMember(const replication::entry_incarnation &run) -> request::member_ref
{
    return {run.member, run.incarnation};
}
} // namespace

entry_process::entry_process(settings::process_settings processSettings)
    : m_process{std::move(processSettings), "entry"}
    , m_fleetLog{m_process.loop,
                 m_process.logService,
                 m_process.settings.deployment.secret,
                 {[this](replication::log_offset, const core::record_id &, const replication::record &change,
                         const replication::applied &outcome) { onApplied(change, outcome); },
                  [this](const replication::fleet_state &state) { applyState(state); },
                  [this](core::monotonic_time sentAt) {
                      m_authority.logReadToEnd(sentAt);
                      updateMembership();
                  }}}
    , m_peers{m_process,
              {[this](const request::member_ref &from, const request::peer_message &message) {
                   onMessage(from, message);
               },
               [this](const core::member_id &to, std::uint64_t sequence) {
                   m_authority.pingSent(to, sequence, monotonicNow());
               },
               [this](const core::member_id &peer, net::down_reason reason) {
                   onPeerDown(peer, reason);
               }}}
    , m_membership{m_process, m_fleetLog, replication::member_kind::entry,
                   [this] {
                       stop(entry_stop_reason::removed);
                   }}
    , m_status{m_process, [this] { return describeState(m_fleetLog.state()); },
               [this] {
                   updateGauges();
               }}
    , m_workers{m_process,
                [this] {
                    m_runner.pump();
                }}
    , m_runner{m_process, m_workers}
    , m_authority{{m_process.settings.process.name, m_process.incarnation}}
    , m_jobs{tableLimits(m_process.settings.limits)}
    , m_keys{m_authority, m_jobs}
{
}

entry_process::~entry_process() = default;

auto entry_process::now() const -> request::instant
{
    return {monotonicNow(), wallNow()};
}

auto entry_process::childSpecs() -> std::vector<child_spec>
{
    return {
        childOf("log", m_fleetLog),
        childOf("peers", m_peers),
        childOf("status", m_status),
        {"membership", [] {},
         [this](const std::function<void()> &done) {
             m_membership.leave(m_keys.transferComplete(), done);
         }},
        {"decisions", [this] { startTickers(); },
         [this](const std::function<void()> &done) {
             m_tickers.clear();
             done();
         }},
        {"callers",
         [this] {
             m_server = std::make_unique<net::http_server>(
                 m_process.loop, m_process.settings.listen.callers, serverLimits(m_process.settings.limits),
                 [this](const net::http_request &message, const std::shared_ptr<net::responder> &caller) {
                     handleRequest(message, caller);
                 },
                 [](const core::error &problem) { return errorResponse({}, problem); });
             m_process.log.log(observe::log_level::info, "listening",
                               {{"role", "callers"}, {"address", m_server->address()}});
         },
         [this](const std::function<void()> &done) {
             m_server.reset();
             done();
         }},
    };
}

auto entry_process::startTickers() -> void
{
    const auto &timing = m_process.settings.timing;
    const auto every = [this](core::duration period, std::function<void()> callback) {
        m_tickers.push_back(std::make_unique<ticker>(m_process.loop, period, std::move(callback)));
    };
    every(decisionTick, [this] { advance(); });
    every(timing.heartbeat, [this] { sendHeartbeat(); });
    every(leaseTick, [this] { m_workers.renewLeases(); });
    every(timing.hostListPoll, [this] { m_workers.pollHostList(); });
    every(contactReportPeriod, [this] {
        reportContacts();
        requestState();
    });
}

auto entry_process::run() -> entry_stop_reason
{
    m_supervisor = std::make_unique<supervisor>(childSpecs(), restart_policy{}, supervisorHooks(m_process));
    runUntilSignal(m_process, *m_supervisor, [this] { stop(entry_stop_reason::stopped); });
    return m_stopReason;
}

auto entry_process::onApplied(const replication::record &change, const replication::applied &outcome) -> void
{
    if (!outcome.accepted) {
        return;
    }
    const auto &state = m_fleetLog.state();
    if (const auto *host = std::get_if<replication::host_record>(&change)) {
        m_workers.applyHost(state, host->host);
    } else if (std::holds_alternative<replication::config_record>(change)) {
        m_runner.applyConfig(state.config());
        m_process.log.log(observe::log_level::info, "config_in_force", {{"revision", state.revision()}});
    } else if (std::holds_alternative<replication::member_join_record>(change)
               || std::holds_alternative<replication::member_leave_record>(change)) {
        updateMembership();
    } else if (const auto *settled = std::get_if<replication::removal_settled_record>(&change)) {
        m_authority.foldSettled(settled->epoch);
    }
}

// Each removal needs one record; the first entry that writes it settles the removal for all entries.
auto entry_process::settleRemovals() -> void
{
    const auto epoch = m_authority.epochToSettle();
    if (!epoch || m_settlementPending || m_fleetLog.state().entries().settledEpoch >= *epoch) {
        return;
    }
    m_settlementPending = true;
    const replication::removal_settled_record settled{*epoch,
                                                      static_cast<std::uint64_t>(core::toUnixMilliseconds(wallNow()))};
    const core::record_id id{"settled/" + std::to_string(*epoch) + '/' + m_process.settings.process.name.str() + '/'
                             + std::to_string(m_process.incarnation)};
    m_fleetLog.publish(id, settled, settlementTimeout,
                       [this](const replication::publish_outcome &) { m_settlementPending = false; });
}

auto entry_process::applyState(const replication::fleet_state &state) -> void
{
    m_runner.applyConfig(state.config());
    m_workers.applyState(state);
    updateMembership();
}

// Applies a member list only once the log was read to its end: replay also passes through every earlier list.
auto entry_process::updateMembership() -> void
{
    const auto &state = m_fleetLog.state();
    const auto &history = state.entries();
    if (m_fleetLog.follower().caughtUpAt()) {
        m_peers.updateAddresses(state.members());
    }
    if (!m_fleetLog.follower().caughtUpAt() || history.epoch <= m_entryEpoch) {
        return;
    }
    m_entryEpoch = history.epoch;
    request::membership list;
    list.epoch = history.epoch;
    list.singleMemberUntil = toWallTime(history.singleEntryUntilUnixMs);
    for (const auto &member : state.members()) {
        if (member.joined.kind == replication::member_kind::entry) {
            list.members.push_back({member.joined.member, member.joined.incarnation});
        }
    }
    for (const auto &loss : history.losses) {
        list.losses.push_back({toMember(loss.run), loss.epoch, toWallTime(loss.atUnixMs)});
    }
    for (const auto &removal : history.unsettled) {
        list.unsettled.push_back({removal.epoch, {}});
        std::ranges::transform(removal.before, std::back_inserter(list.unsettled.back().before), toMember);
    }
    m_authority.foldMembership(list, now());
    m_process.log.log(observe::log_level::info, "entry_list",
                      {{"epoch", list.epoch}, {"entries", list.members.size()}});
}

auto entry_process::onMessage(const request::member_ref &from, const request::peer_message &message) -> void
{
    if (const auto *heartbeat = std::get_if<request::heartbeat>(&message)) {
        m_fleetLog.follower().recordPeerOffset(heartbeat->foldedOffset);
        const auto digest = m_fleetLog.follower().digestAt(heartbeat->foldedOffset);
        if (digest && *digest != heartbeat->stateDigest) {
            m_process.log.log(observe::log_level::error, "state_digest_mismatch",
                              {{"peer", from.member.str()}, {"offset", heartbeat->foldedOffset}});
        }
        if (m_peers.isUp(from.member)) {
            m_keys.reachable(from.member);
        }
        if (heartbeat->actingEpoch != 0) {
            m_authority.heartbeatReceived(*heartbeat, now());
        }
    } else if (const auto *stateRequest = std::get_if<request::state_request>(&message)) {
        handleStateRequest(from, *stateRequest);
    } else if (const auto *reply = std::get_if<request::state_reply>(&message)) {
        handleStateReply(*reply);
    } else if (!std::holds_alternative<request::worker_contact_report>(message)) {
        execute(m_keys.receive(from, message, now()));
    }
}

auto entry_process::onPeerDown(const core::member_id &peer, net::down_reason reason) -> void
{
    if (reason == net::down_reason::refused) {
        // The connection attempt began at most one connect timeout ago.
        m_authority.connectionRefused(peer, monotonicNow() - linkConnectTimeout);
    }
    execute(m_keys.unreachable(peer, now()));
}

auto entry_process::requestState() -> void
{
    if (m_fleetLog.follower().hasState()) {
        return;
    }
    for (const auto &peer : m_process.settings.peers) {
        if (m_peers.isUp(peer.name)) {
            m_peers.send(peer.name, request::state_request{m_fleetLog.state().offset()});
        }
    }
}

auto entry_process::handleStateRequest(const request::member_ref &from, const request::state_request &stateRequest)
    -> void
{
    const auto &state = m_fleetLog.state();
    if (m_fleetLog.follower().hasState() && state.offset() > stateRequest.knownOffset) {
        m_peers.send(from.member, request::state_reply{state.offset(), state.digest(), codec::encodeState(state)});
    }
}

auto entry_process::handleStateReply(const request::state_reply &reply) -> void
{
    if (m_fleetLog.follower().hasState()) {
        return;
    }
    const auto installed = m_fleetLog.follower().installPeerState(reply.state, reply.digest);
    m_process.log.log(observe::log_level::info, "peer_state",
                      {{"offset", reply.offset}, {"taken", installed.has_value()}});
}

auto entry_process::execute(const request::key_actions &actions) -> void
{
    std::vector<core::member_id> unreachableMembers;
    for (const auto &action : actions) {
        if (const auto *send = std::get_if<request::send_action>(&action)) {
            if (!m_peers.send(send->to.member, send->message)) {
                unreachableMembers.push_back(send->to.member);
            }
        } else if (const auto *start = std::get_if<request::dispatch_action>(&action)) {
            dispatch(*start);
        } else if (const auto *answer = std::get_if<request::answer_action>(&action)) {
            const auto found = m_callers.find(answer->waiter);
            if (found != m_callers.end()) {
                const auto &jobAnswer = *answer->answer;
                answerCaller(answer->waiter, answerResponse(found->second.key, jobAnswer),
                             jobAnswer ? "finished" : core::errorSpecOf(jobAnswer.error().kind).name);
            }
        } else if (const auto *cancellation = std::get_if<request::cancel_action>(&action)) {
            const auto found = m_callers.find(cancellation->waiter);
            if (found != m_callers.end()) {
                answerCaller(cancellation->waiter,
                             cancelResponse(found->second.key, cancellation->outcome, cancellation->answer), "cancel");
            }
        } else if (const auto *withdraw = std::get_if<request::withdraw_action>(&action)) {
            if (const auto ticket = m_tickets.find(withdraw->key); ticket != m_tickets.end()) {
                m_runner.withdraw(ticket->second);
                m_tickets.erase(ticket);
            }
        } else if (const auto *stopped = std::get_if<request::stop_action>(&action)) {
            if (const auto ticket = m_tickets.find(stopped->key); ticket != m_tickets.end()) {
                m_runner.stop(ticket->second);
            }
        }
    }
    for (const auto &member : unreachableMembers) {
        execute(m_keys.unreachable(member, now()));
    }
}

auto entry_process::dispatch(const request::dispatch_action &action) -> void
{
    const auto key = action.key;
    job_hooks hooks;
    hooks.beginAttempt = [this, key] {
        return m_keys.beginAttempt(key, now());
    };
    hooks.attemptNotStarted = [this, key] {
        m_keys.attemptNotStarted(key);
    };
    hooks.done = [this, key](request::job_answer answer) {
        completeJob(key, std::move(answer));
    };
    const auto queued = m_runner.submit(action.spec, std::move(hooks));
    if (queued) {
        m_tickets[key] = *queued;
    } else {
        execute(m_keys.complete(key, tl::make_unexpected(queued.error()), now()));
    }
}

auto entry_process::completeJob(const request::packed_key &key, request::job_answer answer) -> void
{
    m_tickets.erase(key);
    execute(m_keys.complete(key, std::move(answer), now()));
}

auto entry_process::advance() -> void
{
    m_authority.advance(now());
    execute(m_keys.advance(now()));
    settleRemovals();
    m_membership.tick(m_peers.advertisedAddress());
    m_runner.pump();
}

auto entry_process::sendHeartbeat() -> void
{
    request::heartbeat heartbeat;
    heartbeat.from = m_authority.self();
    heartbeat.epoch = m_authority.foldedEpoch();
    heartbeat.actingEpoch = m_authority.activeMembership().epoch;
    heartbeat.foldedOffset = m_fleetLog.state().offset();
    heartbeat.stateDigest = m_fleetLog.state().digest();
    heartbeat.logFresh = m_authority.logFresh(monotonicNow());
    heartbeat.leaving = m_stopping;
    heartbeat.controlEpoch = m_fleetLog.state().control().epoch;
    heartbeat.hears = m_peers.livePeers();
    heartbeat.demand = m_runner.demand();
    m_peers.sendHeartbeats(heartbeat);
}

auto entry_process::reportContacts() -> void
{
    request::worker_contact_report report{m_workers.drainContacts()};
    const auto &holder = m_fleetLog.state().control().holder;
    if (!holder.empty() && !report.sightings.empty()) {
        m_peers.send(holder, report);
    }
}

auto entry_process::updateGauges() -> void
{
    auto &metrics = m_process.metrics;
    const auto at = monotonicNow();
    metrics.gaugeOf("poplarpass_may_act", "Whether non-idempotent work may be started").set(m_authority.mayAct(at));
    metrics.gaugeOf("poplarpass_active_jobs", "Jobs that wait or run").set(static_cast<double>(m_runner.activeCount()));
    metrics.gaugeOf("poplarpass_remembered_keys", "Idempotency keys remembered")
        .set(static_cast<double>(m_jobs.size()));
    metrics.gaugeOf("poplarpass_spans_dropped", "Spans lost as the collector was away")
        .set(static_cast<double>(m_process.traces.droppedCount()));
    updateReplicationGauges(m_process, m_fleetLog.state());
}

auto entry_process::stop(entry_stop_reason reason) -> void
{
    if (std::exchange(m_stopping, true)) {
        return;
    }
    m_stopReason = reason;
    m_process.log.log(observe::log_level::info, "stopping", {{"active", m_runner.activeCount()}});
    sendHeartbeat();
    m_server->setOnDrained([this] { m_drained = true; });
    m_server->drain();
    m_stopTicker = std::make_unique<ticker>(m_process.loop, stopTick, [this] { finishStop(); });
}

auto entry_process::finishStop() -> void
{
    if (!m_drained || m_runner.activeCount() != 0) {
        return;
    }
    if (!m_transferring) {
        m_transferring = true;
        m_transferDeadline = monotonicNow() + transferTimeout;
        execute(m_keys.transferKeys(now()));
    }
    if (!m_keys.transferComplete() && monotonicNow() < m_transferDeadline) {
        return;
    }
    m_stopTicker->stop();
    m_supervisor->stop([this] { m_process.loop.stop(); });
}
} // namespace poplarpass::app
