#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

/// The record of a case: what was sent, answered and run, with the time since its start.
namespace harness
{
class record
{
public:
    explicit record(const std::string &path)
        : m_file{std::fopen(path.c_str(), "w")}
    {
    }

    ~record()
    {
        std::fclose(m_file);
    }
    record(const record &) = delete;
    record &operator=(const record &) = delete;

    void write(const std::string &line)
    {
        const std::lock_guard lock{m_mutex};
        std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(elapsedMs()) / 1000, line.c_str());
        std::fflush(m_file);
    }

    [[nodiscard]] std::int64_t elapsedMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_begin)
            .count();
    }

private:
    std::FILE *m_file;
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
};
} // namespace harness
