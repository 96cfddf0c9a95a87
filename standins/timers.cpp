#include "timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_map>

namespace standins
{
namespace internal
{
/// \brief Pending calls by id.
class timer_state : public std::enable_shared_from_this<timer_state>
{
public:
    explicit timer_state(boost::asio::io_context &loop)
        : m_loop{loop}
    {
    }

    auto after(std::chrono::microseconds delay, std::function<void()> callback) -> timer_id
    {
        const auto id = timer_id{++m_lastId};
        auto &timer = m_timers.try_emplace(id, m_loop).first->second;
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this(), id, callback = std::move(callback)](boost::system::error_code) {
            const auto self = weak.lock();
            if (self && self->m_timers.erase(id) > 0) {
                callback();
            }
        });
        return id;
    }

    auto cancel(timer_id id) -> void
    {
        m_timers.erase(id);
    }

    auto clear() -> void
    {
        m_timers.clear();
    }

private:
    boost::asio::io_context &m_loop;
    std::unordered_map<timer_id, boost::asio::steady_timer> m_timers;
    std::uint64_t m_lastId = 0;
};
} // namespace internal

timers::timers(boost::asio::io_context &loop)
    : m_state{std::make_shared<internal::timer_state>(loop)}
{
}

timers::~timers()
{
    m_state->clear();
}

auto timers::after(std::chrono::microseconds delay, std::function<void()> callback) -> timer_id
{
    return m_state->after(delay, std::move(callback));
}

auto timers::cancel(timer_id id) -> void
{
    m_state->cancel(id);
}
} // namespace standins
