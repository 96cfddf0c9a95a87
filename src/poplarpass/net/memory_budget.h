#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace poplarpass::net::internal
{
/// \brief Memory that the connections of a server hold, and which of them gives way when it exceeds a bound.
class memory_budget
{
public:
    using holder_id = std::uint64_t;
    using time_point = std::chrono::steady_clock::time_point;

    /// \brief When a connection gives way.
    enum class release_order : std::uint8_t {
        never, ///< Its request is being carried out.
        by_size, ///< It can be refused or closed without harm to a request.
        first, ///< Its response has been sent.
    };

    /// \brief What one connection holds.
    struct holding
    {
        std::size_t bytes = 0; ///< Memory held.
        release_order order = release_order::never; ///< When it gives way.
        time_point since; ///< When the request began for which it is held.
    };

    /// \param maxBytes bound on what all connections hold together
    explicit memory_budget(std::size_t maxBytes);

    /// \brief Replaces what \p holder holds.
    auto set(holder_id holder, const holding &held) -> void;

    /// \brief Removes \p holder, which holds nothing any more.
    auto remove(holder_id holder) -> void;

    /// \brief Returns what all holders hold together, bytes.
    [[nodiscard]] auto heldBytes() const -> std::size_t;

    /// \brief Returns whether the holders hold more than the bound.
    [[nodiscard]] auto isExceeded() const -> bool;

    /// \brief Returns the holder that gives way next: of the first ones, else of those with about the largest size, the
    /// one that has taken longest; nothing if none can give way.
    [[nodiscard]] auto nextToRelease() const -> std::optional<holder_id>;

private:
    std::size_t m_maxBytes;
    std::size_t m_heldBytes = 0;
    std::unordered_map<holder_id, holding> m_holders;
};
} // namespace poplarpass::net::internal
