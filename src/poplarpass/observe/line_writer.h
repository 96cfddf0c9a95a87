#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarpass::observe
{
/// \brief Writes lines to a file descriptor without blocking on a slow reader.
///
/// Lines that cannot be written are buffered up to bufferBytes and dropped beyond it. Once there is room again, a line
/// with the number of dropped lines is written.
class line_writer
{
public:
    /// \brief Size of the buffer for a slow reader, bytes.
    static constexpr std::size_t bufferBytes = std::size_t{64} * 1024;

    /// \param descriptor open for writing; not closed
    explicit line_writer(int descriptor);

    /// \brief Writes or buffers \p line and a line break; drops the line if the buffer is full.
    auto write(std::string_view line) -> void;

    /// \brief Returns the number of dropped lines.
    [[nodiscard]] auto droppedCount() const -> std::uint64_t;

private:
    auto flush() -> void;

    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
};
} // namespace poplarpass::observe
