#include "child_process.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration): POSIX has programs declare it

namespace tests
{
child_process::child_process(std::string program, std::vector<std::string> arguments)
{
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
        throw std::runtime_error{"cannot create the output pipe of a child process"};
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
    std::vector<char *> argv{program.data()};
    for (auto &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int spawnError = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    if (spawnError != 0) {
        close(pipeEnds[0]);
        throw std::runtime_error{"cannot start the child process " + program};
    }
    m_reader = std::thread{[this, descriptor = pipeEnds[0]] {
        readLines(descriptor);
    }};
}

child_process::~child_process()
{
    if (!m_reaped) {
        kill(m_pid, SIGKILL);
        int status = 0;
        waitpid(m_pid, &status, 0);
    }
    m_reader.join();
}

auto child_process::readLines(int descriptor) -> void
{
    std::FILE *stream = fdopen(descriptor, "r");
    char *buffer = nullptr;
    std::size_t capacity = 0;
    ssize_t length = 0;
    while ((length = getline(&buffer, &capacity, stream)) > 0) {
        const std::scoped_lock lock{m_mutex};
        m_lines.emplace_back(buffer, static_cast<std::size_t>(length));
        while (!m_lines.back().empty() && m_lines.back().back() == '\n') {
            m_lines.back().pop_back();
        }
        m_changed.notify_all();
    }
    std::free(buffer);
    std::fclose(stream);
    const std::scoped_lock lock{m_mutex};
    m_outputClosed = true;
    m_changed.notify_all();
}

auto child_process::waitForLine(std::string_view text, std::chrono::seconds timeout) -> std::optional<std::string>
{
    std::unique_lock lock{m_mutex};
    std::size_t next = 0;
    std::optional<std::string> found;
    m_changed.wait_for(lock, timeout, [&] {
        for (; next < m_lines.size() && !found; ++next) {
            if (m_lines[next].find(text) != std::string::npos) {
                found = m_lines[next];
            }
        }
        return found.has_value() || m_outputClosed;
    });
    return found;
}

auto child_process::linesWith(std::string_view text) -> std::vector<std::string>
{
    const std::scoped_lock lock{m_mutex};
    std::vector<std::string> matching;
    std::ranges::copy_if(m_lines, std::back_inserter(matching),
                         [text](const std::string &line) { return line.find(text) != std::string::npos; });
    return matching;
}

auto child_process::signal(int signalNumber) -> void
{
    if (!m_reaped) {
        kill(m_pid, signalNumber);
    }
}

auto child_process::waitForExit(std::chrono::seconds timeout) -> std::optional<int>
{
    // The end of the process closes its end of the pipe.
    std::unique_lock lock{m_mutex};
    if (!m_changed.wait_for(lock, timeout, [this] { return m_outputClosed; })) {
        return std::nullopt;
    }
    lock.unlock();
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_reaped = true;
    return status;
}

auto child_process::residentKb() const -> long
{
    return statusKb("VmRSS:");
}

auto child_process::peakResidentKb() const -> long
{
    return statusKb("VmHWM:");
}

auto child_process::openDescriptors() const -> std::size_t
{
    std::error_code ended;
    const std::filesystem::directory_iterator entries{"/proc/" + std::to_string(m_pid) + "/fd", ended};
    return ended ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

auto child_process::statusKb(std::string_view field) const -> long
{
    std::ifstream file{"/proc/" + std::to_string(m_pid) + "/status"};
    std::string word;
    while (file >> word) {
        if (word == field) {
            long kilobytes = 0;
            file >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

auto fieldOf(std::string_view line, std::string_view key) -> std::string
{
    const auto pattern = std::string{key} + "=";
    auto begin = line.find(pattern);
    while (begin != std::string_view::npos && begin != 0 && line[begin - 1] != ' ') {
        begin = line.find(pattern, begin + 1);
    }
    if (begin == std::string_view::npos) {
        return {};
    }
    begin += pattern.size();
    return std::string{line.substr(begin, line.find(' ', begin) - begin)};
}
} // namespace tests
