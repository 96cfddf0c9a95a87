#pragma once

#include <poplarpass/app/fleet_log.h>
#include <poplarpass/app/membership_publisher.h>
#include <poplarpass/app/peer_hub.h>
#include <poplarpass/app/process_runtime.h>
#include <poplarpass/app/status_server.h>
#include <poplarpass/app/supervisor.h>
#include <poplarpass/control.h>
#include <poplarpass/control/membership_manager.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace poplarpass::app
{
/// \brief Control process: a candidate for the control role; its holder manages hosts and maintenance waves.
class control_process
{
public:
    explicit control_process(settings::process_settings processSettings);
    ~control_process();
    control_process(const control_process &) = delete;
    auto operator=(const control_process &) -> control_process & = delete;

    /// \brief Runs until SIGTERM or SIGINT, or until removal from the member list, and then stops gracefully.
    auto run() -> void;

private:
    auto childSpecs() -> std::vector<child_spec>;
    auto onApplied(const core::record_id &id, const replication::record &change, const replication::applied &outcome)
        -> void;
    auto onMessage(const request::member_ref &from, const request::peer_message &message) -> void;
    auto handleHeartbeat(const request::member_ref &from, const request::heartbeat &heartbeat) -> void;
    auto recordDemand(const request::member_ref &from, const request::heartbeat &heartbeat) -> void;
    auto controllerHooks() -> control::controller_hooks;
    auto recordContacts(const request::worker_contact_report &report) -> void;
    auto onPeerDown(const core::member_id &peer, net::down_reason reason) -> void;
    auto tick() -> void;
    auto claimOrRenewRole() -> void;
    auto runHostController() -> void;
    auto removeMembers() -> void;
    auto execute(const control::control_action &action) -> void;
    auto executeAppend(const control::append_request &request) -> void;
    auto executeOrder(const control::order_action &order) -> void;
    auto logReport(const control::report_action &report) -> void;
    auto writeSnapshotIfDue() -> void;
    auto pollHostList() -> void;
    auto probeNewHosts() -> void;
    auto recordProbe(const core::host_id &host, core::monotonic_time sentAt,
                     const core::result<platform::lease_response> &report) -> void;
    auto sendHeartbeat() -> void;
    auto updateGauges() -> void;
    auto candidates() const -> std::vector<core::member_id>;
    auto stop() -> void;

    process_runtime m_process;
    fleet_log m_fleetLog;
    peer_hub m_peers;
    membership_publisher m_membership;
    status_server m_status;
    control::role_manager m_roleManager;
    control::membership_manager m_membershipManager;
    control::liveness_view m_liveness;
    std::map<core::member_id, std::vector<request::pool_demand>> m_demand;
    control::demand_forecast m_forecast;
    control::move_planner m_movePlanner;
    control::host_controller m_hostController;
    replication::snapshot_policy m_snapshots;
    std::set<core::member_id> m_removing;
    std::vector<control::host_contact> m_contacts;
    std::vector<control::order_outcome> m_outcomes;
    std::optional<std::vector<platform::listed_host>> m_hostList;
    std::vector<std::unique_ptr<ticker>> m_tickers;
    std::unique_ptr<supervisor> m_supervisor;
    bool m_mayAct = false;
    bool m_snapshotUnderWay = false;
    bool m_stopping = false;
};
} // namespace poplarpass::app
