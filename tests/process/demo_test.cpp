#include "run_command.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <unistd.h>

using namespace tests;

namespace
{
namespace fs = std::filesystem;

const std::string statusText = "offset=9 revision=4 holder=control-1 control_epoch=1 members=6\n"
                               "pool=a serving=60 required=40 worst_loss=8 spare=12\n"
                               "pool=b serving=40 required=35 worst_loss=8 spare=-3\n";
const std::string answerText = R"({"key":"k","ran":"ran","state":"finished"})";

/// \brief A copy of tools/demo whose tools and programs are replaced by scripts that print canned output.
class demo_copy
{
public:
    demo_copy()
        : m_root{fs::temp_directory_path() / ("poplarpass-demo-" + std::to_string(getpid()))}
    {
        const fs::path examples{POPLARPASS_EXAMPLES_DIR};
        fs::create_directories(m_root / "tools");
        fs::create_directories(m_root / "build/release/bin");
        fs::create_directories(m_root / "path");
        fs::create_directories(m_root / "examples");
        fs::copy(examples / "plata", m_root / "examples/plata", fs::copy_options::recursive);
        fs::copy_file(examples.parent_path() / "tools/demo", m_root / "tools/demo");
        writeScript("tools/install-packages", "");
        writeScript("path/cmake", "");
        // Loops over the fleet end after a few rounds; those that wait for a process keep their number of rounds.
        writeScript("path/seq", "[ \"$1\" = 120 ] && set -- 3; exec /usr/bin/seq \"$1\"");
        writeScript("path/sleep", "exec /bin/sleep 0.01");
        writeScript("path/curl", "echo '" + answerText + "'");
        writeScript("build/release/bin/poplarpass-standins", "echo role=hostlist; exec /bin/sleep 60");
        setVerb("entry", "echo role=callers; echo event=config_in_force; exec /bin/sleep 60");
        setVerb("control", "exec /bin/sleep 60");
        setVerb("profile publish", "echo revision accepted offset=4");
        setVerb("status", "printf '%s' '" + statusText + "'");
        setVerb("host show",
                "grep -c '^\\[\\[host\\]\\]' examples/plata/inventory.toml | { read -r hosts;"
                " echo 'generation=1 phase=serving pool=a'; for ((host = 1; host < hosts; host++)); do"
                " echo 'generation=0 phase=serving pool=a'; done; }");
        setVerb("wave plan", "echo 'in 0 min host=h'");
        setVerb("wave start", "echo wave accepted offset=5");
        setVerb("wave status", "echo wave=w state=finished done=3");
    }
    ~demo_copy()
    {
        std::error_code ignored;
        fs::remove_all(m_root, ignored);
    }
    demo_copy(const demo_copy &) = delete;
    auto operator=(const demo_copy &) -> demo_copy & = delete;

    /// \brief Sets the commands that the verb \p name of the program runs.
    auto setVerb(const std::string &name, std::string commands) -> void
    {
        m_verbs[name] = std::move(commands);
    }

    auto writeScript(const std::string &name, const std::string &commands) const -> void
    {
        std::ofstream{m_root / name} << "#!/usr/bin/env bash\n" << commands << '\n';
        fs::permissions(m_root / name, fs::perms::owner_all);
    }

    auto run() const -> command_result
    {
        std::string program = "case \"$1 $2\" in\n";
        for (const auto &[name, commands] : m_verbs) {
            const auto *const end = name.find(' ') == std::string::npos ? " \"*) " : "\") ";
            program.append("\"").append(name).append(end).append(commands).append(" ;;\n");
        }
        writeScript("build/release/bin/poplarpass", program + "*) echo unknown verb >&2; exit 2 ;;\nesac");
        return runCommand("/usr/bin/env",
                          {"PATH=" + (m_root / "path").string() + ":/usr/bin:/bin", "bash",
                           (m_root / "tools/demo").string(), "plata"});
    }

private:
    fs::path m_root;
    std::map<std::string, std::string> m_verbs;
};

auto contains(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}
} // namespace

TEST_CASE("The demo prints the measures that it read", "[process][demo]")
{
    const demo_copy demo;
    const auto result = demo.run();
    INFO(result.out << result.err);
    CHECK(result.exitStatus == 0);
    CHECK(contains(result.out, "in force at 3 of 3 entries\n"));
    CHECK(contains(result.out, "jobs answered: 2 of 2\n"));
    CHECK(contains(result.out, "roll-out time of the wave: "));
    CHECK(contains(result.out, "buffer cost: 25% of the slots"));
    CHECK(contains(result.out, "moves: 1 host(s) serve another pool"));
}

// Guards against a demo that goes on after a failed step and prints a figure that no command returned.
TEST_CASE("The demo fails with its first failed step and prints no figure that it did not read", "[process][demo]")
{
    struct example
    {
        std::string verb;
        std::string commands;
        std::string figure; ///< Figure that must not be printed.
    };
    const std::vector<example> examples{
        {"profile publish", "exit 4", "in force at"},
        {"host show", "echo unexpected argument >&2; exit 2", "moves:"},
        {"host show", "true", "moves:"},
        {"status", "exit 1", "buffer cost:"},
        {"status", "echo offset=9 revision=4", "buffer cost:"},
        {"status", "echo pool=a serving=x required=y", "buffer cost:"},
        {"wave plan", "exit 1", "jobs answered:"},
        {"wave start", "exit 4", "roll-out time"},
        {"wave status", "exit 1", "roll-out time"},
        {"wave status", "echo wave=w state=running done=1", "roll-out time"},
        {"entry", "exit 3", "in force at"},
    };
    for (const auto &[verb, commands, figure] : examples) {
        demo_copy demo;
        demo.setVerb(verb, commands);
        const auto result = demo.run();
        INFO(verb << ": " << commands << '\n' << result.out << result.err);
        CHECK(result.exitStatus != 0);
        CHECK_FALSE(contains(result.out, figure));
    }
}

TEST_CASE("The demo fails if a job is not answered", "[process][demo]")
{
    const demo_copy demo;
    for (const std::string commands : {"echo '{\"error\":\"queue_full\",\"ran\":\"not_run\"}'", "exit 28"}) {
        demo.writeScript("path/curl", commands);
        const auto result = demo.run();
        INFO(result.out << result.err);
        CHECK(result.exitStatus != 0);
        CHECK(contains(result.out, "jobs answered: 0 of 2\n"));
    }
}

TEST_CASE("The demo shows a plan in which hosts have no place and goes on", "[process][demo]")
{
    demo_copy demo;
    demo.setVerb("wave plan", "for ((host = 0; host < 9; host++)); do echo not within the horizon; done; exit 4");
    const auto result = demo.run();
    INFO(result.out << result.err);
    CHECK(result.exitStatus == 0);
    CHECK(contains(result.out, "not within the horizon"));
}
