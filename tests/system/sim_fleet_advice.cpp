#include "sim_fleet.h"

#include <algorithm>

// Advice service.
namespace tests::system_sim
{
namespace
{
constexpr core::duration adviceTimeout = std::chrono::milliseconds{3000};

/// \brief Allows each step on a fixed subset of about two thirds of all workers.
auto isAllowed(const std::string &step, const std::string &worker) -> bool
{
    return std::hash<std::string>{}(step + worker) % 3 != 0;
}

auto ticketOf(const std::string &step, const std::string &worker, std::int64_t issuedMs) -> std::string
{
    return step + "|" + worker + "|" + std::to_string(issuedMs);
}
} // namespace

auto sim_fleet::isAllowedAnywhere(const std::string &step, const core::pool_id &pool, const jobs::resources &need) const
    -> bool
{
    return std::ranges::any_of(m_machines, [&](const auto &machine) {
        return machine->pool == pool && !machine->worker.empty() && isAllowed(step, machine->worker)
            && machine->model->free().holds(need);
    });
}

auto sim_fleet::adviceFor(const process_port &port) -> host::advice_calls
{
    host::advice_calls calls;
    calls.requestAdvice = [this, port](const jobs::advice_request &request,
                                       std::function<void(std::optional<std::vector<jobs::advice_ticket>>)> done) {
        using advice = std::optional<std::vector<jobs::advice_ticket>>;
        call_delivery delivery;
        delivery.arrives = !adviceDown;
        delivery.addedLatency = request.policy.decisionTime + request.policy.timePerWorker * request.workers.size();
        m_network.call<advice>(
            port, delivery, adviceTimeout, std::nullopt,
            [this, request](const std::function<void(advice)> &answer) {
                std::vector<jobs::advice_ticket> allowed;
                for (const auto &worker : request.workers) {
                    if (isAllowed(request.step, worker.str())) {
                        allowed.push_back({worker, ticketOf(request.step, worker.str(), m_network.nowMs())});
                    }
                }
                answer(std::move(allowed));
            },
            std::move(done));
    };
    return calls;
}
} // namespace tests::system_sim
