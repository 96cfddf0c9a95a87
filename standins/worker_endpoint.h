#pragma once

#include "inventory.h"
#include "run_journal.h"
#include "timers.h"
#include "usage_history.h"
#include "worker_assignment.h"
#include "worker_leases.h"
#include "worker_tasks.h"
#include "worker_types.h"

#include <poplarpass/net/http_server.h>

#include <optional>
#include <vector>

namespace standins
{
/// \brief One simulated worker host, with its own port.
class worker_endpoint
{
public:
    worker_endpoint(boost::asio::io_context &loop, inventory_host host, const worker_options &options);

    /// \brief Returns the "IP:port" of the worker, which stays the same while it is down.
    [[nodiscard]] auto address() const -> std::string;

    /// \brief Returns the entry for the host list.
    [[nodiscard]] auto listed() const -> const poplarpass::platform::listed_host &;

    [[nodiscard]] auto behaviour() const -> const worker_behaviour &;

    /// \brief Changes the behaviour; clearing `crash` reboots the worker.
    auto setBehaviour(const worker_behaviour &behaviour) -> void;

    /// \brief Returns the record of accepted and refused starts.
    [[nodiscard]] auto journal() const -> const run_journal &;

    /// \brief Returns state and journal as JSON.
    [[nodiscard]] auto journalJson() const -> nlohmann::json;

    /// \brief Returns the id of the current boot; it changes with every reboot and after every crash.
    [[nodiscard]] auto bootId() const -> std::uint64_t;

private:
    using responder_ptr = std::shared_ptr<poplarpass::net::responder>;
    using request = poplarpass::net::http_request;
    using response = poplarpass::net::http_response;

    auto listen() -> void;
    auto handle(const request &message, const responder_ptr &responder) -> void;
    auto handleWorkRequest(const request &message, const responder_ptr &responder) -> void;
    auto handleTask(const request &message) -> response;
    auto handleLease(const request &message) -> response;
    auto leaseResponse() -> response;
    auto handleStart(const request &message, const responder_ptr &responder) -> void;
    [[nodiscard]] auto rejectionOf(const poplarpass::platform::start_request &request) const
        -> poplarpass::platform::rejection;
    auto reject(const poplarpass::platform::start_request &request, poplarpass::platform::rejection reason) -> response;
    auto run(poplarpass::platform::start_request request, const responder_ptr &responder) -> void;
    [[nodiscard]] auto runTimeOf(const poplarpass::platform::start_request &request) const -> std::chrono::microseconds;
    auto recordUsage() -> void;
    auto handleOrder(const request &message) -> response;
    [[nodiscard]] auto orderResponse() const -> response;
    auto reboot() -> void;
    auto restart() -> void;
    auto crash() -> void;
    auto unfreeze() -> void;
    [[nodiscard]] auto taskResponse(const std::string &taskId) const -> response;

    boost::asio::io_context &m_loop;
    inventory_host m_host;
    worker_options m_options;
    worker_behaviour m_behaviour;
    worker_assignment m_assignment;
    run_journal m_journal;
    worker_leases m_leases;
    worker_tasks m_tasks;
    usage_history m_slotUsage;
    usage_history m_connectionUsage;
    std::uint64_t m_bootId;
    std::vector<std::function<void()>> m_frozenRequests;
    bool m_rebooting = false;
    timers m_timers;
    std::string m_address;
    std::unique_ptr<poplarpass::net::http_server> m_server;
};
} // namespace standins
