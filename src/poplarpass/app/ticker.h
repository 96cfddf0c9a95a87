#pragma once

#include <poplarpass/core/time_source.h>

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace poplarpass::app
{
/// \brief Calls a function periodically on the event loop until it is stopped or destroyed.
class ticker
{
public:
    /// \param loop event loop on which the callback runs
    /// \param period time between the end of one call and the start of the next
    /// \param callback function to call; never called after stop()
    ticker(boost::asio::io_context &loop, core::duration period, std::function<void()> callback);
    ~ticker();
    ticker(const ticker &) = delete;
    auto operator=(const ticker &) -> ticker & = delete;

    /// \brief Stops the periodic calls.
    auto stop() -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// \brief Calls \p callback once after \p delay on \p loop.
auto callAfter(boost::asio::io_context &loop, core::duration delay, std::function<void()> callback) -> void;

/// \brief Returns a time source with the clocks of the process and timers on \p loop, which must outlive it.
auto makeTimeSource(boost::asio::io_context &loop) -> core::time_source;
} // namespace poplarpass::app
