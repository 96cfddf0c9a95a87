#include <poplarpass/app/clock.h>
#include <poplarpass/app/ticker.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace poplarpass::app
{
struct ticker::implementation : std::enable_shared_from_this<implementation>
{
    implementation(boost::asio::io_context &loop, core::duration period, std::function<void()> callback)
        : timer{loop}
        , period{period}
        , callback{std::move(callback)}
    {
    }

    auto arm() -> void
    {
        timer.expires_after(period);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &problem) {
            if (problem || self->stopped) {
                return;
            }
            self->callback();
            if (!self->stopped) {
                self->arm();
            }
        });
    }

    boost::asio::steady_timer timer;
    core::duration period;
    std::function<void()> callback;
    bool stopped = false;
};

ticker::ticker(boost::asio::io_context &loop, core::duration period, std::function<void()> callback)
    : m_implementation{std::make_shared<implementation>(loop, period, std::move(callback))}
{
    m_implementation->arm();
}

ticker::~ticker()
{
    stop();
}

auto ticker::stop() -> void
{
    m_implementation->stopped = true;
    m_implementation->timer.cancel();
}

auto callAfter(boost::asio::io_context &loop, core::duration delay, std::function<void()> callback) -> void
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop, delay);
    timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code &problem) {
        if (!problem) {
            callback();
        }
    });
}

auto makeTimeSource(boost::asio::io_context &loop) -> core::time_source
{
    core::time_source time;
    time.now = monotonicNow;
    time.wallNow = wallNow;
    time.callAfter = [&loop](core::duration delay, std::function<void()> callback) {
        callAfter(loop, delay, std::move(callback));
    };
    return time;
}
} // namespace poplarpass::app
