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
/// \brief Calls back again and again on the event loop until it is destroyed or stopped.
class ticker
{
public:
    /// \param loop event loop that calls back
    /// \param period time between the end of a call and the next one
    /// \param callback what to call; never called after stop()
    ticker(boost::asio::io_context &loop, core::duration period, std::function<void()> callback);
    ~ticker();
    ticker(const ticker &) = delete;
    auto operator=(const ticker &) -> ticker & = delete;

    /// \brief Stops calling back.
    auto stop() -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

/// \brief Calls \p callback once after \p delay on \p loop.
auto callAfter(boost::asio::io_context &loop, core::duration delay, std::function<void()> callback) -> void;

/// \brief The process's clocks, and a timer on \p loop, which must live as long.
auto timeOf(boost::asio::io_context &loop) -> core::time_source;
} // namespace poplarpass::app
