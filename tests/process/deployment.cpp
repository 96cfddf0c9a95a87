#include "deployment.h"

#include "test_seed.h"

#include <poplarpass/request/uuid7.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>
#include <unistd.h>

namespace tests
{
namespace
{
using nlohmann::json;

constexpr std::chrono::milliseconds pollInterval{50};
} // namespace

// The ports lie below the ephemeral range, so that no bind to port 0 can claim one between this check and its use. Each
// test process starts its search at another port.
auto freeAddresses(std::size_t count) -> std::vector<std::string>
{
    constexpr int firstPort = 10240;
    constexpr int portCount = 20000;
    constexpr int portsPerProcess = 40;
    static int next = getpid() * portsPerProcess;
    boost::asio::io_context loop;
    std::vector<std::string> addresses;
    while (addresses.size() < count) {
        const auto port = static_cast<unsigned short>(firstPort + next++ % portCount);
        boost::asio::ip::tcp::acceptor trial{loop, boost::asio::ip::tcp::v4()};
        boost::system::error_code bindError;
        trial.bind({boost::asio::ip::make_address("127.0.0.1"), port}, bindError);
        if (!bindError) {
            addresses.push_back("127.0.0.1:" + std::to_string(port));
        }
    }
    return addresses;
}

auto binaryPath(const std::string &name) -> std::string
{
    return std::string{POPLARPASS_BIN_DIR} + "/" + name;
}

deployment::deployment(int entries, int controls, int workers)
    : m_workers{workers}
{
    static int serial = 0;
    m_folder = std::filesystem::temp_directory_path()
        / ("poplarpass-test-" + std::to_string(getpid()) + "-" + std::to_string(++serial));
    std::filesystem::create_directories(m_folder);
    m_standins =
        std::make_unique<child_process>(binaryPath("poplarpass-standins"),
                                        std::vector<std::string>{"all", "--count", std::to_string(workers), "--pools",
                                                                 "quick,slow", "--seed", std::to_string(baseSeed())});
    m_logAddress = fieldOf(m_standins->waitForLine("role=log").value_or(""), "address");
    m_hostListAddress = fieldOf(m_standins->waitForLine("role=hostlist").value_or(""), "address");
    m_journalAddress = fieldOf(m_standins->waitForLine("role=workers").value_or(""), "address");
    for (int index = 1; index <= entries; ++index) {
        m_entryNames.push_back("entry-" + std::to_string(index));
    }
    m_processNames = m_entryNames;
    for (int index = 1; index <= controls; ++index) {
        m_processNames.push_back("control-" + std::to_string(index));
    }
    m_peerAddresses = freeAddresses(m_processNames.size());
    std::vector<std::string> proxyArguments{"proxy"};
    for (const auto &address : m_peerAddresses) {
        proxyArguments.insert(proxyArguments.end(), {"--listen", "127.0.0.1:0", "--to", address});
    }
    m_proxy = std::make_unique<child_process>(binaryPath("poplarpass-standins"), proxyArguments);
    m_proxy->waitForLine("role=proxy-control");
    for (const auto &line : m_proxy->linesWith("role=proxy ")) {
        m_proxyAddresses.push_back(fieldOf(line, "address"));
    }
    m_proxyControlAddress = fieldOf(m_proxy->waitForLine("role=proxy-control").value_or(""), "address");
    for (std::size_t index = 0; index < m_processNames.size(); ++index) {
        writeSettings(m_processNames[index], index < m_entryNames.size() ? "entry" : "control", index);
        start(m_processNames[index]);
    }
}

deployment::~deployment()
{
    for (const auto &[name, child] : m_processes) {
        child->signal(SIGCONT);
    }
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

auto deployment::settingsPath(const std::string &name) const -> std::string
{
    return (m_folder / (name + ".toml")).string();
}

auto deployment::writeSettings(const std::string &name, const std::string &kind, std::size_t index) -> void
{
    std::ofstream out{settingsPath(name)};
    out << "[process]\nname = \"" << name << "\"\nregion = \"region-1\"\nzone = \"zone-" << index % 3 + 1 << "\"\n"
        << "[listen]\n";
    if (kind == "entry") {
        out << "callers = \"127.0.0.1:0\"\n";
    }
    out << "peers = \"" << m_peerAddresses[index] << "\"\nadvertise = \"" << m_proxyAddresses.at(index) << "\"\n"
        << "admin = \"127.0.0.1:0\"\n"
        << "[deployment]\nname = \"test\"\nzones = [\"zone-1\", \"zone-2\", \"zone-3\"]\n"
        << "secret = \"a key for this test only\"\n"
        << "[platform]\nlog = \"" << m_logAddress << "\"\nhost_list = \"" << m_hostListAddress << "\"\n";
    for (std::size_t peer = 0; peer < m_processNames.size(); ++peer) {
        out << "[[peers]]\nname = \"" << m_processNames[peer] << "\"\naddress = \"" << m_proxyAddresses[peer]
            << "\"\nkind = \"" << (peer < m_entryNames.size() ? "entry" : "control") << "\"\n";
    }
}

auto deployment::start(const std::string &name) -> child_process &
{
    const auto subcommand = name.substr(0, name.find('-'));
    m_processes[name] = std::make_unique<child_process>(
        binaryPath("poplarpass"), std::vector<std::string>{subcommand, "--config", settingsPath(name)});
    return *m_processes[name];
}

auto deployment::process(const std::string &name) -> child_process &
{
    return *m_processes.at(name);
}

auto deployment::fleetText(int quickDemand) const -> std::string
{
    const auto slowDemand = std::to_string(m_workers);
    return "[weights]\nbuffer_cost = 1.0\nmoves = 1.0\n"
           "[[calendar]]\nname = \"always\"\nutc_offset_minutes = 0\n"
           "[[calendar.window]]\ndays = [\"mon\", \"tue\", \"wed\", \"thu\", \"fri\", \"sat\", \"sun\"]\n"
           "start = \"00:00\"\nlength_minutes = 1440\n"
           "[[profile]]\nname = \"plain\"\nheadroom = 0.1\nloss_domain = \"host\"\nmax_lost = 1\nmax_out = 2\n"
           "calendar = \"always\"\nmax_lent = 0\nmax_borrowed = 0\n"
           "[[pool]]\nname = \"quick\"\nprofile = \"plain\"\ndemand_slots = "
        + std::to_string(quickDemand) + "\n[[pool]]\nname = \"slow\"\nprofile = \"plain\"\ndemand_slots = " + slowDemand
        + "\n[[team]]\nname = \"team\"\nquota_slots = 1000\nweight = 1.0\n";
}

auto deployment::writeFleet(int quickDemand) -> std::string
{
    static int serial = 0;
    auto file = (m_folder / ("fleet-" + std::to_string(++serial) + ".toml")).string();
    std::ofstream{file} << fleetText(quickDemand);
    return file;
}

auto deployment::publish(int quickDemand, const std::string &basedOn) -> std::string
{
    std::vector<std::string> arguments{"profile", "publish", "--fleet", writeFleet(quickDemand)};
    if (!basedOn.empty()) {
        arguments.insert(arguments.end(), {"--based-on", basedOn});
    }
    return run(std::move(arguments));
}

auto deployment::run(std::vector<std::string> arguments) -> std::string
{
    arguments.insert(arguments.end(), {"--config", settingsPath(m_processNames.front())});
    child_process operatorCommand{binaryPath("poplarpass"), std::move(arguments)};
    operatorCommand.waitForExit(std::chrono::seconds{60});
    std::string output;
    for (const auto &line : operatorCommand.linesWith("")) {
        output += line + "\n";
    }
    return output;
}

auto deployment::callerAddress(const std::string &name) -> std::string
{
    return fieldOf(process(name).waitForLine("role=callers").value_or(""), "address");
}

auto deployment::status(const std::string &name) -> json
{
    const auto address = fieldOf(process(name).waitForLine("role=admin").value_or(""), "address");
    const auto answer = httpCall(address, "GET", "/status", {}, std::chrono::seconds{5});
    auto document = json::parse(answer.body, nullptr, false);
    return document.is_object() ? document : json::object();
}

auto deployment::eventually(const std::function<bool()> &reached, std::chrono::seconds limit) -> bool
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!reached()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

auto deployment::awaitReady() -> bool
{
    const bool ready = eventually([this] {
        const auto first = status(m_entryNames.front());
        if (first.value("members", json::array()).size() != m_processNames.size()) {
            return false;
        }
        int serving = 0;
        for (const auto &pool : first.value("pools", json::array())) {
            serving += pool.value("serving_slots", 0);
        }
        if (serving != m_workers * 8) {
            m_notReadyReason = "unexpected number of serving slots: " + std::to_string(serving);
            return false;
        }
        for (const auto &name : m_entryNames) {
            const auto answer = httpCall(callerAddress(name), "POST", "/v1/jobs", jobBody(makeKey(), 1));
            if (answer.status != 200) {
                m_notReadyReason = name + " returned HTTP status " + std::to_string(answer.status) + ' ' + answer.body;
                return false;
            }
        }
        return true;
    });
    if (!ready) {
        std::cout << "deployment not ready at the time limit: " << m_notReadyReason << '\n';
    }
    return ready;
}

auto deployment::setLogFaults(const json &faults) -> void
{
    httpCall(m_logAddress, "POST", "/fault", faults.dump());
}

auto deployment::setPeerFaults(const std::string &name, const json &faults) -> void
{
    const auto index = static_cast<std::size_t>(std::ranges::find(m_processNames, name) - m_processNames.begin());
    httpCall(m_proxyControlAddress, "POST", "/fault?pair=" + std::to_string(index), faults.dump());
}

auto deployment::journal() -> json
{
    return json::parse(httpCall(m_journalAddress, "GET", "/journal").body, nullptr, false);
}

auto deployment::startsOf(const json &journal, const std::string &key) -> int
{
    int starts = 0;
    for (const auto &worker : journal.at("workers")) {
        for (const auto &run : worker.at("runs")) {
            starts += run.at("task_id") == key ? 1 : 0;
        }
    }
    return starts;
}

auto deployment::entries() const -> const std::vector<std::string> &
{
    return m_entryNames;
}

auto makeKey() -> std::string
{
    static std::mt19937_64 random{std::random_device{}()};
    const auto now =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch());
    return poplarpass::request::makeUuid7(poplarpass::core::wall_time{now}, random).str();
}

auto jobBody(const std::string &key, int runTimeMs, bool idempotent) -> std::string
{
    const json body{{"pool", "quick"},          {"team", "team"},           {"kind", "search"}, {"key", key},
                    {"run_time_ms", runTimeMs}, {"idempotent", idempotent}, {"payload", key},   {"deadline_ms", 20000}};
    return body.dump();
}
} // namespace tests
