#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace standins
{
namespace internal
{
class timer_state;
} // namespace internal

/// \brief Identifies a scheduled call.
enum class timer_id : std::uint64_t {};

/// \brief Schedules delayed calls; destruction cancels the pending ones.
class timers
{
public:
    explicit timers(boost::asio::io_context &loop);
    ~timers();
    timers(const timers &) = delete;
    auto operator=(const timers &) -> timers & = delete;

    /// \brief Schedules \p callback to run on the event loop after \p delay.
    auto after(std::chrono::microseconds delay, std::function<void()> callback) -> timer_id;

    /// \brief Cancels a scheduled call; has no effect if it already ran.
    auto cancel(timer_id id) -> void;

private:
    std::shared_ptr<internal::timer_state> m_state;
};
} // namespace standins
