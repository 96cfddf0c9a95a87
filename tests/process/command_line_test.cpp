#include "deployment.h"
#include "run_command.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace tests;

namespace
{
/// \brief One invocation of a verb and what it must leave behind.
struct invocation
{
    std::vector<std::string> arguments;
    int exitStatus;
    std::string out; ///< Part of the standard output; empty if nothing may be printed there.
    std::string err; ///< Part of the standard error; empty if nothing may be printed there.
    std::string input = {}; ///< Standard input.
};

// Of the 32 slots of each pool, 8 may be lost and 8 are out in a wave: too few are left for this demand, so that no
// host of the pool can be planned. The demand of the pool "slow" is 8.
constexpr int quickDemand = 20;
const std::string jobLogs = "time=2026-10-21T11:09:53.000Z level=info process=a event=job_accepted id=aa reason=q\n";

auto hasExpected(const std::string &text, const std::string &part) -> bool
{
    return part.empty() ? text.empty() : text.find(part) != std::string::npos;
}

auto check(const invocation &expected) -> void
{
    const auto result = runCommand(binaryPath("poplarpass"), expected.arguments, expected.input);
    std::string line;
    for (const auto &argument : expected.arguments) {
        line += argument + ' ';
    }
    INFO(line << "\nout: " << result.out << "\nerr: " << result.err);
    CHECK(result.exitStatus == expected.exitStatus);
    CHECK(hasExpected(result.out, expected.out));
    CHECK(hasExpected(result.err, expected.err));
}

auto checkAll(const std::vector<invocation> &invocations) -> void
{
    for (const auto &expected : invocations) {
        check(expected);
    }
}

/// \brief Names of the verbs that \p help lists: the text before two spaces on an indented line.
auto listedVerbs(const std::string &help) -> std::set<std::string>
{
    std::set<std::string> names;
    std::istringstream lines{help};
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("  ")) {
            const auto end = line.find("  ", 2);
            names.insert(line.substr(2, end - 2));
        }
    }
    return names;
}

/// \brief Folder for the files of one test; removed by the destructor.
class test_folder
{
public:
    test_folder()
        : m_path{std::filesystem::temp_directory_path() / ("poplarpass-verbs-" + std::to_string(getpid()))}
    {
        std::filesystem::create_directories(m_path);
    }
    ~test_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    test_folder(const test_folder &) = delete;
    auto operator=(const test_folder &) -> test_folder & = delete;

    [[nodiscard]] auto write(const std::string &name, const std::string &text) const -> std::string
    {
        std::ofstream{m_path / name} << text;
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

auto hostSettings(const std::vector<std::string> &listen, const std::string &platform) -> std::string
{
    return "name = \"edge-1\"\nzone = \"z\"\nlog_level = \"info\"\n[listen]\ncallers = \"" + listen.at(0)
        + "\"\nreadiness = \"" + listen.at(1) + "\"\npeers = \"" + listen.at(2) + "\"\nmetrics = \"" + listen.at(3)
        + "\"\n[platform]\nstore = \"" + platform + "\"\nhost_service = \"" + platform
        + "\"\nadvice = []\n[timing]\nstop_grace_s = 1\nholder_term_ms = 3000\n";
}

auto exitStatusAfter(child_process &process, int signalNumber) -> int
{
    process.signal(signalNumber);
    const auto status = process.waitForExit();
    REQUIRE(status);
    return WIFEXITED(*status) ? WEXITSTATUS(*status) : -1;
}
} // namespace

// Guards against verbs that cannot be reached, fail without a reason, or exit with another status than
// docs/OPERATIONS.md says.
TEST_CASE("Every verb that reads or changes the fleet reports its result and its errors", "[process]")
{
    deployment fleet{1, 1, 8};
    const auto config = fleet.settingsPath("entry-1");
    const test_folder folder;
    const auto first = fleet.writeFleet(quickDemand);
    const auto second = fleet.writeFleet(quickDemand + 1);
    const auto tooLarge = fleet.writeFleet(100000);
    const auto unreadable = folder.write("unreadable.toml", "[=");
    const auto free = freeAddresses(1).front();
    checkAll({{{"profile", "publish", "--config", config, "--fleet", first}, 0, "revision accepted offset=", ""}});
    REQUIRE(fleet.awaitReady());
    const auto entry = fleet.callerAddress("entry-1");
    const auto key = makeKey();
    REQUIRE(httpCall(entry, "POST", "/v1/jobs", jobBody(key, 1)).status == 200);

    checkAll({
        {{"status", "--config", config}, 0, "members=2", ""},
        {{"status", "--config", config, "--format=json"}, 0, "\"members\":[", ""},
        {{"status", "--config", config, "--format=xml"}, 2, "", "--format must be text or json, not 'xml'"},
        {{"status", "--config", unreadable}, 3, "", unreadable},
        {{"status", "--config", config, "now"}, 2, "", "unexpected argument 'now'"},
        {{"status"}, 2, "", "--config is required"},
        {{"host", "show", "--config", config}, 0, "pool=quick", ""},
        {{"host", "show", "--config", config, "no-such-host"}, 1, "", "no host 'no-such-host'"},
        {{"host", "show", "--config", config, "a", "b"}, 2, "", "unexpected argument 'b'"},
        {{"job", "show", "--config", config, "--entry", entry, key}, 0, "done:" + key, ""},
        {{"job", "show", "--config", config, "--entry", entry, makeKey()}, 1, "", "unknown_job"},
        {{"job", "show", "--config", config, "--entry", free, key}, 1, "", "did not answer"},
        {{"job", "show", "--config", config, "--entry", "nowhere", key}, 2, "", "--entry must be IP:port"},
        {{"job", "show", "--config", config, "--entry", entry}, 2, "", "KEY is required"},
        {{"job", "show", "--config", config, key}, 2, "", "--entry is required"},
    });
    checkAll({
        {{"profile", "validate", "--fleet", second}, 0, "valid", ""},
        {{"profile", "validate", "--fleet", second, "--config", config}, 0, "valid", ""},
        {{"profile", "validate", "--fleet", unreadable}, 3, "", unreadable},
        {{"profile", "validate", "--fleet", "/nowhere/fleet.toml"}, 3, "", "cannot open file"},
        {{"profile", "validate", "--fleet", tooLarge, "--config", config}, 4, "", "quick"},
        {{"profile", "publish", "--config", config, "--fleet", second, "--based-on", "x"}, 2, "", "--based-on must be"},
        {{"profile", "publish", "--config", config, "--fleet", unreadable}, 3, "", unreadable},
        {{"profile", "publish", "--config", config, "--fleet", second, "--based-on", "1"},
         4,
         "error=revision_conflict",
         "the revision in force is"},
        {{"profile", "publish", "--config", config}, 2, "", "--fleet is required"},
        {{"profile", "list", "--config", config}, 0, "plain headroom=0.1", ""},
        {{"profile", "list", "--config", config, "--format", "json"}, 0, "\"name\":\"plain\"", ""},
        {{"profile", "list", "--config", config, "plain"}, 2, "", "unexpected argument 'plain'"},
        {{"profile", "show", "--config", config, "plain"}, 0, "plain headroom=0.1", ""},
        {{"profile", "show", "--config", config, "other"}, 1, "", "no profile 'other'"},
        {{"profile", "show", "--config", config}, 2, "", "NAME is required"},
        {{"profile", "diff", "--config", config, "--fleet", second}, 0, "quick", ""},
        {{"profile", "diff", "--config", config, "--fleet", unreadable}, 3, "", unreadable},
        {{"profile", "history", "--config", config}, 0, "operator=operator result=accepted", "newest snapshot"},
        {{"profile", "history", "--config", unreadable}, 3, "", unreadable},
    });
    checkAll({
        {{"wave", "plan", "--config", config, "--pools", "slow"}, 0, "in 0 min host=", ""},
        {{"wave", "plan", "--config", config, "--pools", "quick"}, 4, "limit=capacity", ""},
        {{"wave", "plan", "--config", config, "--pools", "quick,other"}, 1, "", "no pool 'other'"},
        {{"wave", "plan"}, 2, "", "--config is required"},
        {{"wave", "status", "--config", config}, 0, "", ""},
        {{"wave", "start", "--config", config, "wave-1"}, 0, "wave wave-1 accepted", ""},
        {{"wave", "start", "--config", config, "wave-1"}, 4, "wave wave-1 refused", ""},
        {{"wave", "start", "--config", config, "--pools", "other", "wave-2"}, 4, "wave wave-2 refused", ""},
        {{"wave", "start", "--config", config}, 2, "", "NAME is required"},
        {{"wave", "pause", "--config", config, "wave-1"}, 0, "wave wave-1 accepted", ""},
        {{"wave", "pause", "--config", config, "other"}, 4, "wave other refused", ""},
        {{"wave", "resume", "--config", config, "wave-1"}, 0, "wave wave-1 accepted", ""},
        {{"wave", "resume", "--config", config, "other"}, 4, "wave other refused", ""},
        {{"wave", "status", "--config", config}, 0, "wave=wave-1 state=", ""},
        {{"wave", "status", "--config", config, "--format=xml"}, 2, "", "--format must be"},
    });
    child_process watching{binaryPath("poplarpass"), {"status", "--config", config, "--watch"}};
    CHECK(deployment::eventually([&] { return watching.linesWith("members=").size() >= 2; }));
    for (const auto *name : {"entry-1", "control-1"}) {
        CAPTURE(name);
        CHECK(exitStatusAfter(fleet.process(name), SIGTERM) == 0);
    }
}

TEST_CASE("Every verb without a fleet reports its result and its errors", "[process]")
{
    const test_folder folder;
    const auto unreadable = folder.write("unreadable.toml", "[=");
    const std::string example = std::string{POPLARPASS_EXAMPLES_DIR} + "/plata/entry-1.toml";
    checkAll({
        {{"config", "check", example}, 0, "valid", ""},
        {{"config", "check", unreadable}, 3, "", unreadable},
        {{"config", "check"}, 2, "", "FILE... is required"},
        {{"config", "keys"}, 0, "listen", ""},
        {{"config", "keys", "a"}, 2, "", "unexpected argument 'a'"},
        {{"config", "errors"}, 0, "| `unknown_job` |", ""},
        {{"config", "errors", "a"}, 2, "", "unexpected argument 'a'"},
        {{"config", "events"}, 0, "| `job_accepted` |", ""},
        {{"config", "events", "a"}, 2, "", "unexpected argument 'a'"},
        {{"job", "explain", "aa"}, 0, "event=job_accepted id=aa", "", jobLogs},
        {{"job", "explain", "ab"}, 1, "", "no log line mentions job ab", jobLogs},
        {{"job", "explain"}, 2, "", "ID is required"},
        {{"capacity", "report"}, 1, "", "no pool_load line", jobLogs},
        {{"entry", "--config", unreadable}, 3, "", unreadable},
        {{"entry"}, 2, "", "--config is required"},
        {{"control", "--config", "/nowhere/control.toml"}, 3, "", "/nowhere/control.toml"},
        {{"control"}, 2, "", "--config is required"},
        {{"host", "--config", unreadable}, 3, "", unreadable},
        {{"host"}, 2, "", "--config is required"},
        {{"host", "--help"}, 0, "host show", ""},
        {{"config", "--help"}, 0, "config events", ""},
        {{"confg", "keys"}, 2, "", "the nearest verb is 'config keys'"},
        {{"--version"}, 0, "poplarpass ", ""},
        {{}, 2, "", "Usage: poplarpass VERB"},
    });
}

TEST_CASE("A host process exits 0 on SIGTERM and 1 with the reason if an address is in use", "[process]")
{
    const auto listen = freeAddresses(5);
    const test_folder folder;
    const auto settings = folder.write("host.toml", hostSettings(listen, listen.at(4)));
    child_process host{binaryPath("poplarpass"), {"host", "--config", settings}};
    REQUIRE(host.waitForLine("event=start"));
    REQUIRE(deployment::eventually([&] { return httpCall(listen.at(3), "GET", "/metrics").status == 200; }));
    checkAll({
        {{"account", "list", "--at", listen.at(3)}, 1, "", "has no accounts"},
        {{"account", "list"}, 2, "", "--at is required"},
        {{"account", "list", "--at", listen.at(4)}, 1, "", "did not answer"},
        {{"account", "show", "a", "--at", listen.at(3)}, 1, "", "has no accounts"},
        {{"account", "show", "a", "--at", "nowhere"}, 2, "", "--at must be IP:port"},
        {{"account", "show", "--at", listen.at(3)}, 2, "", "NAME is required"},
    });
    const auto second = runCommand(binaryPath("poplarpass"), {"host", "--config", settings});
    CHECK(second.exitStatus == 1);
    CHECK(second.err.find("poplarpass host: ") != std::string::npos);
    CHECK(exitStatusAfter(host, SIGTERM) == 0);
}

// The list is that of the cases above; a verb that is added or renamed must be added to them.
TEST_CASE("The overview lists exactly the verbs that these tests run", "[process]")
{
    const std::set<std::string> tested{
        "account list",    "account show", "host",         "host show",    "job explain",      "job show",
        "entry",           "control",      "config check", "config keys",  "config errors",    "config events",
        "status",          "profile list", "profile show", "profile diff", "profile validate", "profile publish",
        "profile history", "wave plan",    "wave start",   "wave pause",   "wave resume",      "wave status",
        "capacity report"};
    const auto help = runCommand(binaryPath("poplarpass"), {"--help"});
    CHECK(help.exitStatus == 0);
    CHECK(help.err.empty());
    CHECK(listedVerbs(help.out) == tested);
}
