#include "run_command.h"

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
namespace
{
/// \brief Folder for the standard streams of one command; removed by the destructor.
class stream_folder
{
public:
    stream_folder()
    {
        static int serial = 0;
        m_path = std::filesystem::temp_directory_path()
            / ("poplarpass-command-" + std::to_string(getpid()) + "-" + std::to_string(++serial));
        std::filesystem::create_directories(m_path);
    }
    ~stream_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    stream_folder(const stream_folder &) = delete;
    auto operator=(const stream_folder &) -> stream_folder & = delete;

    [[nodiscard]] auto file(std::string_view name) const -> std::string
    {
        return (m_path / name).string();
    }

    [[nodiscard]] auto contents(std::string_view name) const -> std::string
    {
        std::ifstream in{file(name)};
        return {std::istreambuf_iterator<char>{in}, {}};
    }

private:
    std::filesystem::path m_path;
};

auto spawn(const std::string &program, std::vector<std::string> &arguments, const stream_folder &streams) -> pid_t
{
    constexpr int writeFlags = O_WRONLY | O_CREAT | O_TRUNC;
    constexpr mode_t ownerOnly = 0600;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, streams.file("in").c_str(), O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, streams.file("out").c_str(), writeFlags, ownerOnly);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, streams.file("err").c_str(), writeFlags, ownerOnly);
    std::string name{program};
    std::vector<char *> argv{name.data()};
    for (auto &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    pid_t child = -1;
    const int spawnError = posix_spawn(&child, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (spawnError != 0) {
        throw std::runtime_error{"cannot start " + program};
    }
    return child;
}
} // namespace

auto runCommand(const std::string &program, std::vector<std::string> arguments, std::string_view input)
    -> command_result
{
    const stream_folder streams;
    std::ofstream{streams.file("in")} << input;
    const auto child = spawn(program, arguments, streams);
    int status = 0;
    waitpid(child, &status, 0);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, streams.contents("out"), streams.contents("err")};
}
} // namespace tests
