#pragma once

#include "test_seed.h"

#include <poplarpass/core.h>
#include <poplarpass/request.h>

#include <random>
#include <string>
#include <vector>

/// Helpers for tests of request handling.
namespace tests
{
namespace core = poplarpass::core;
namespace platform = poplarpass::platform;
namespace request = poplarpass::request;

/// \brief Returns the instant at which the tests in this folder start.
inline auto startInstant() -> request::instant
{
    return {core::monotonic_time{std::chrono::hours{1}}, core::fromUnixMilliseconds(1'800'000'000'000)};
}

/// \brief Returns \p from advanced by \p time on both clocks.
inline auto later(request::instant from, core::duration time) -> request::instant
{
    return {from.now + time, from.wall + time};
}

/// \brief Returns an incarnation, by default the first, of the entry with the number \p index.
inline auto member(int index, std::uint64_t incarnation = 1) -> request::member_ref
{
    return {core::member_id{"entry-" + std::to_string(index)}, incarnation};
}

/// \brief Returns a member list of the entries 0 to \p count - 1.
inline auto memberList(std::uint64_t epoch, int count) -> request::membership
{
    request::membership list;
    list.epoch = epoch;
    for (int index = 0; index < count; ++index) {
        list.members.push_back(member(index));
    }
    return list;
}

/// \brief Replaces the breach handler, during its lifetime, by one that records the kinds of breaches.
class breach_counter
{
public:
    breach_counter()
        : m_previous{core::setBreachHandler([this](auto kind, auto /*evidence*/) { m_kinds.push_back(kind); })}
    {
    }
    ~breach_counter()
    {
        core::setBreachHandler(m_previous);
    }
    breach_counter(const breach_counter &) = delete;
    auto operator=(const breach_counter &) -> breach_counter & = delete;

    [[nodiscard]] auto kinds() const -> const std::vector<core::invariant_kind> &
    {
        return m_kinds;
    }

private:
    std::vector<core::invariant_kind> m_kinds;
    core::breach_handler m_previous;
};
} // namespace tests
