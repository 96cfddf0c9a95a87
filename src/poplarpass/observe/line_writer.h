#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpass::observe
{
/// \brief Writes lines to a file descriptor and never waits for its reader.
///
/// Lines that the reader has no room for are kept up to a bound, and left out beyond it; a line that says how many
/// follows once there is room again.
class line_writer
{
public:
    /// \brief Bytes that are kept for a slow reader.
    static constexpr std::size_t bufferBytes = std::size_t{64} * 1024;

    /// \param descriptor open for writing; not closed
    explicit line_writer(int descriptor);

    /// \brief Writes \p line and a line break, as far as there is room.
    auto write(std::string_view line) -> void;

    /// \brief Lines that were left out.
    [[nodiscard]] auto droppedCount() const -> std::uint64_t;

private:
    auto flush() -> void;

    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
};
} // namespace poplarpass::observe
