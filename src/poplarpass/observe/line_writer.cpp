#include <poplarpass/observe/line_writer.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace poplarpass::observe
{
line_writer::line_writer(int descriptor, deferral_hook defer)
    : m_descriptor{descriptor}
    , m_defer{std::move(defer)}
{
}

line_writer::~line_writer()
{
    flush();
}

auto line_writer::write(std::string_view line) -> void
{
    if (m_buffer.size() + line.size() > bufferBytes) {
        flush();
    }
    if (m_buffer.size() + line.size() > bufferBytes) {
        ++m_dropped;
        ++m_unreportedDrops;
        return;
    }
    if (m_unreportedDrops > 0) {
        m_buffer += "event=log_lines_dropped count=" + std::to_string(m_unreportedDrops) + "\n";
        m_unreportedDrops = 0;
    }
    m_buffer += line;
    m_buffer += '\n';
    if (!m_defer || m_buffer.size() >= immediateWriteBytes) {
        flush();
    } else if (!std::exchange(m_flushScheduled, true)) {
        m_defer(m_lifetime.guard([this] {
            m_flushScheduled = false;
            flush();
        }));
    }
}

// A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking, even in blocking mode.
auto line_writer::flush() -> void
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd state{m_descriptor, POLLOUT, 0};
        if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            break;
        }
        const auto chunk = std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
        const auto result = ::write(m_descriptor, m_buffer.data() + written, chunk);
        if (result <= 0) {
            break;
        }
        written += static_cast<std::size_t>(result);
    }
    m_buffer.erase(0, written);
}

auto line_writer::droppedCount() const -> std::uint64_t
{
    return m_dropped;
}
} // namespace poplarpass::observe
