#pragma once

#include "fakes/stepped_time.h"

#include <poplarpass/host/host_core.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>

/// Deterministic simulation of hosts, store, workers, host service, advice service and callers on a stepped clock.
namespace tests::system_sim
{
namespace core = poplarpass::core;
namespace capacity = poplarpass::capacity;
namespace host = poplarpass::host;
namespace jobs = poplarpass::jobs;
namespace net = poplarpass::net;
namespace owner = poplarpass::owner;
namespace route = poplarpass::route;
namespace store = poplarpass::store;

/// \brief The calling process, which receives the answers.
struct process_port
{
    std::string name; ///< Name of its host.
    /// \brief Runs an action in the process: later if it is suspended, never if it has ended.
    std::function<void(std::function<void()>)> deliver;
};

/// \brief Delivery of one call and of its answer.
struct call_delivery
{
    bool arrives = true; ///< Whether the call arrives.
    bool answered = true; ///< Whether the answer arrives.
    core::duration executionDelay{0}; ///< Delay from arrival to execution.
    core::duration addedLatency{0}; ///< Added network latency.
};

/// \brief Simulated clock, random numbers and calls between processes and services.
class sim_network
{
public:
    explicit sim_network(std::uint64_t seed)
        : m_random{seed}
    {
    }

    /// \brief Returns true with probability \p probability.
    auto randomBool(double probability) -> bool
    {
        return std::uniform_real_distribution<double>{0, 1}(m_random) < probability;
    }

    /// \brief Returns a uniformly distributed integer from \p least to \p most, both included.
    auto randomInteger(std::int64_t least, std::int64_t most) -> std::int64_t
    {
        return std::uniform_int_distribution<std::int64_t>{least, most}(m_random);
    }

    /// \brief Returns a uniformly distributed duration from \p leastMs to \p mostMs milliseconds.
    auto randomDuration(std::int64_t leastMs, std::int64_t mostMs) -> core::duration
    {
        return std::chrono::milliseconds{randomInteger(leastMs, mostMs)};
    }

    /// \brief Returns the milliseconds since the start.
    [[nodiscard]] auto nowMs() const -> std::int64_t
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.now() - m_start).count();
    }

    /// \brief Sends a call.
    /// \param timeoutAnswer answer passed to \p done if none arrives within \p timeout
    /// \param execute executes the call and invokes its argument at most once with the answer
    template <typename Answer>
    auto call(const process_port &from, const call_delivery &delivery, core::duration timeout, Answer timeoutAnswer,
              std::function<void(std::function<void(Answer)>)> execute, std::function<void(Answer)> done) -> void
    {
        auto pending = std::make_shared<bool>(true);
        std::function<void(Answer)> complete = [deliver = from.deliver, pending,
                                                done = std::move(done)](Answer answer) {
            deliver([pending, done, answer = std::move(answer)]() mutable {
                if (std::exchange(*pending, false)) {
                    done(std::move(answer));
                }
            });
        };
        if (delivery.arrives) {
            time.after(networkLatency() + delivery.addedLatency + delivery.executionDelay,
                       [this, delivery, execute = std::move(execute), complete] {
                           execute([this, delivery, complete](Answer answer) {
                               if (delivery.answered) {
                                   time.after(networkLatency(),
                                              [complete, answer = std::move(answer)] { complete(answer); });
                               }
                           });
                       });
        }
        time.after(timeout, [complete, timeoutAnswer = std::move(timeoutAnswer)] { complete(timeoutAnswer); });
    }

    fakes::stepped_time time; ///< Clock shared by all parts of the simulation.

private:
    auto networkLatency() -> core::duration
    {
        return std::chrono::microseconds{randomInteger(400, 4000)};
    }

    std::mt19937_64 m_random;
    core::monotonic_time m_start = time.now();
};
} // namespace tests::system_sim
