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

/// \brief Identifies a call that was scheduled.
enum class timer_id : std::uint64_t {};

/// \brief Scheduled calls of one owner; those still outstanding are dropped with it.
class timers
{
public:
    explicit timers(boost::asio::io_context &loop);
    ~timers();
    timers(const timers &) = delete;
    auto operator=(const timers &) -> timers & = delete;

    /// \brief Calls \p call after \p delay, from the event loop.
    auto after(std::chrono::microseconds delay, std::function<void()> call) -> timer_id;

    /// \brief Drops a scheduled call.
    auto cancel(timer_id id) -> void;

private:
    std::shared_ptr<internal::timer_state> m_state;
};
} // namespace standins
