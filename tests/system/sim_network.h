#pragma once

#include "fakes/stepped_time.h"

#include <poplarpass/host/host_core.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>

/// Plays whole systems of several hosts with store, workers, service for hosts, advice and callers on a stepped clock.
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

/// \brief The process that makes a call: where answers arrive.
struct process_port
{
    std::string name; ///< Name of its host.
    std::function<void(std::function<void()>)> deliver; ///< Runs something in the process once it can, or never.
};

/// \brief What becomes of one call on its way.
struct call_fate
{
    bool arrives = true; ///< Whether it gets there.
    bool answered = true; ///< Whether its answer gets back.
    core::duration late{0}; ///< How much later than it arrived it is carried out.
    core::duration slow{0}; ///< Added to its way.
};

/// \brief Time, chance, and the way of a call from a process to an outside service and back.
class sim_network
{
public:
    explicit sim_network(std::uint64_t seed)
        : m_random{seed}
    {
    }

    /// \brief True in \p share of all cases.
    auto chance(double share) -> bool
    {
        return std::uniform_real_distribution<double>{0, 1}(m_random) < share;
    }

    /// \brief A whole number from \p least to \p most.
    auto pick(std::int64_t least, std::int64_t most) -> std::int64_t
    {
        return std::uniform_int_distribution<std::int64_t>{least, most}(m_random);
    }

    /// \brief A time from \p leastMs to \p mostMs milliseconds.
    auto pickTime(std::int64_t leastMs, std::int64_t mostMs) -> core::duration
    {
        return std::chrono::milliseconds{pick(leastMs, mostMs)};
    }

    /// \brief Milliseconds since the start.
    [[nodiscard]] auto nowMs() const -> std::int64_t
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.now() - m_start).count();
    }

    /// \brief Sends a call: \p carryOut answers through what it is given, once or never.
    /// \param lost what the process is told when no answer came within \p timeout
    template <typename Answer>
    auto call(const process_port &from, const call_fate &fate, core::duration timeout, Answer lost,
              std::function<void(std::function<void(Answer)>)> carryOut, std::function<void(Answer)> done) -> void
    {
        auto open = std::make_shared<bool>(true);
        std::function<void(Answer)> settle = [deliver = from.deliver, open, done = std::move(done)](Answer answer) {
            deliver([open, done, answer = std::move(answer)]() mutable {
                if (std::exchange(*open, false)) {
                    done(std::move(answer));
                }
            });
        };
        if (fate.arrives) {
            time.after(way() + fate.slow + fate.late, [this, fate, carryOut = std::move(carryOut), settle] {
                carryOut([this, fate, settle](Answer answer) {
                    if (fate.answered) {
                        time.after(way(), [settle, answer = std::move(answer)] { settle(answer); });
                    }
                });
            });
        }
        time.after(timeout, [settle, lost = std::move(lost)] { settle(lost); });
    }

    fakes::stepped_time time; ///< The clock of all.

private:
    auto way() -> core::duration
    {
        return std::chrono::microseconds{pick(400, 4000)};
    }

    std::mt19937_64 m_random;
    core::monotonic_time m_start = time.now();
};
} // namespace tests::system_sim
