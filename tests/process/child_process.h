#pragma once

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace tests
{
/// \brief A child process started by a test; the destructor kills it if it still runs.
class child_process
{
public:
    /// \brief Starts \p program with \p arguments and collects its output line by line.
    child_process(std::string program, std::vector<std::string> arguments);
    ~child_process();
    child_process(const child_process &) = delete;
    auto operator=(const child_process &) -> child_process & = delete;

    /// \brief Waits until a line contains \p text and returns the first such line, or nothing at the timeout.
    auto waitForLine(std::string_view text, std::chrono::seconds timeout = std::chrono::seconds{30})
        -> std::optional<std::string>;

    /// \brief Returns the lines so far that contain \p text.
    auto linesWith(std::string_view text) -> std::vector<std::string>;

    /// \brief Sends signal \p signalNumber to the process.
    auto signal(int signalNumber) -> void;

    /// \brief Waits for the process to end and returns its exit status as from waitpid, or nothing at the timeout.
    auto waitForExit(std::chrono::seconds timeout = std::chrono::seconds{30}) -> std::optional<int>;

    /// \brief Returns the resident memory in kB; 0 if the process has ended.
    auto residentKb() const -> long;

    /// \brief Returns the highest resident memory so far in kB; 0 if the process has ended.
    auto peakResidentKb() const -> long;

    /// \brief Returns the number of open descriptors; 0 if the process has ended.
    auto openDescriptors() const -> std::size_t;

private:
    auto readLines(int descriptor) -> void;
    auto statusKb(std::string_view field) const -> long;

    pid_t m_pid = -1;
    bool m_reaped = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    bool m_outputClosed = false;
    std::thread m_reader;
};

/// \brief Returns the value of \p key in a line of key=value pairs; empty if there is none.
auto fieldOf(std::string_view line, std::string_view key) -> std::string;
} // namespace tests
