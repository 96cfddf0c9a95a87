#pragma once

#include <poplarpass/core/lifetime.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace poplarpass::observe
{
/// \brief Writes lines to a file descriptor without blocking on a slow reader.
///
/// Lines that cannot be written are buffered up to bufferBytes and dropped beyond it. Once there is room again, a line
/// with the number of dropped lines is written. With a deferral hook, the lines of a short period share one write.
class line_writer
{
public:
    /// \brief Size of the buffer for a slow reader, bytes.
    static constexpr std::size_t bufferBytes = std::size_t{64} * 1024;
    /// \brief Size of buffered lines that are written without waiting for the deferred write, bytes.
    static constexpr std::size_t immediateWriteBytes = std::size_t{16} * 1024;

    /// \brief Calls its argument once after a short period.
    using deferral_hook = std::function<void(std::function<void()>)>;

    /// \param descriptor open for writing; not closed
    /// \param defer defers the write of buffered lines; each line is written at once if not set
    explicit line_writer(int descriptor, deferral_hook defer = nullptr);
    ~line_writer();
    line_writer(const line_writer &) = delete;
    auto operator=(const line_writer &) -> line_writer & = delete;

    /// \brief Writes or buffers \p line and a line break; drops the line if the buffer is full.
    auto write(std::string_view line) -> void;

    /// \brief Returns the number of dropped lines.
    [[nodiscard]] auto droppedCount() const -> std::uint64_t;

private:
    auto flush() -> void;

    int m_descriptor;
    deferral_hook m_defer;
    bool m_flushScheduled = false;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreportedDrops = 0;
    core::lifetime m_lifetime;
};
} // namespace poplarpass::observe
