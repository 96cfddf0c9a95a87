#pragma once

#include <poplarpass/app/caller_api.h>
#include <poplarpass/app/fleet_log.h>
#include <poplarpass/app/job_runner.h>
#include <poplarpass/app/membership_publisher.h>
#include <poplarpass/app/peer_hub.h>
#include <poplarpass/app/process_runtime.h>
#include <poplarpass/app/status_server.h>
#include <poplarpass/app/supervisor.h>
#include <poplarpass/app/worker_directory.h>
#include <poplarpass/net/http_server.h>
#include <poplarpass/request.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace poplarpass::app
{
/// \brief Reason why an entry process stopped.
enum class entry_stop_reason {
    stopped, ///< SIGTERM or SIGINT.
    removed, ///< Removed from the member list: its remembered keys are invalid; a new incarnation may join.
};

/// \brief Entry process: accepts jobs from callers and answers each request once.
class entry_process
{
public:
    explicit entry_process(settings::process_settings processSettings);
    ~entry_process();
    entry_process(const entry_process &) = delete;
    auto operator=(const entry_process &) -> entry_process & = delete;

    /// \brief Runs until SIGTERM or SIGINT, or until removal from the member list, and then stops gracefully.
    auto run() -> entry_stop_reason;

private:
    struct caller
    {
        core::job_key key;
        std::shared_ptr<net::responder> responder;
        core::monotonic_time arrivedAt;
        observe::span span;
        bool isCancel = false;
    };

    auto childSpecs() -> std::vector<child_spec>;
    auto startTickers() -> void;
    auto onApplied(const replication::record &change, const replication::applied &outcome) -> void;
    auto applyState(const replication::fleet_state &state) -> void;
    auto updateMembership() -> void;
    auto settleRemovals() -> void;
    auto onMessage(const request::member_ref &from, const request::peer_message &message) -> void;
    auto onPeerDown(const core::member_id &peer, net::down_reason reason) -> void;
    auto handleStateRequest(const request::member_ref &from, const request::state_request &stateRequest) -> void;
    auto handleStateReply(const request::state_reply &reply) -> void;
    auto requestState() -> void;

    auto handleRequest(const net::http_request &message, const std::shared_ptr<net::responder> &caller) -> void;
    auto submit(const net::http_request &message, const std::shared_ptr<net::responder> &caller) -> void;
    auto submitDirect(job_submission submission, const std::shared_ptr<net::responder> &caller) -> void;
    auto submitKeyed(const job_submission &submission, const std::shared_ptr<net::responder> &caller) -> void;
    auto queryJob(const net::http_request &message, const core::job_key &key,
                  const std::shared_ptr<net::responder> &caller) -> void;
    auto cancel(const core::job_key &key, const std::shared_ptr<net::responder> &caller) -> void;
    auto addCaller(const core::job_key &key, const std::shared_ptr<net::responder> &responder, bool isCancel)
        -> request::waiter_id;
    auto answerCaller(request::waiter_id waiter, const net::http_response &response, std::string_view result) -> void;
    auto scheduleDeadlineAnswer(request::waiter_id waiter, core::duration delay) -> void;

    auto execute(const request::key_actions &actions) -> void;
    auto dispatch(const request::dispatch_action &action) -> void;
    auto completeJob(const request::packed_key &key, request::job_answer answer) -> void;
    auto advance() -> void;
    auto sendHeartbeat() -> void;
    auto reportContacts() -> void;
    auto updateGauges() -> void;
    auto stop(entry_stop_reason reason) -> void;
    auto finishStop() -> void;
    auto now() const -> request::instant;

    process_runtime m_process;
    fleet_log m_fleetLog;
    peer_hub m_peers;
    membership_publisher m_membership;
    status_server m_status;
    worker_directory m_workers;
    job_runner m_runner;
    request::authority m_authority;
    request::job_table m_jobs;
    request::key_authority m_keys;
    std::unique_ptr<net::http_server> m_server;
    std::unordered_map<request::waiter_id, caller> m_callers;
    std::unordered_map<request::packed_key, request::ticket_id> m_tickets;
    std::vector<std::unique_ptr<ticker>> m_tickers;
    std::unique_ptr<ticker> m_stopTicker;
    std::unique_ptr<supervisor> m_supervisor;
    request::waiter_id m_lastWaiter = 0;
    std::uint64_t m_entryEpoch = 0;
    core::monotonic_time m_transferDeadline{};
    bool m_settlementPending = false;
    bool m_drained = false;
    bool m_stopping = false;
    bool m_transferring = false;
    entry_stop_reason m_stopReason = entry_stop_reason::stopped;
};
} // namespace poplarpass::app
