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

constexpr std::chrono::milliseconds pollPause{50};

// The ports lie below the ephemeral range, so that no bind to port 0 can claim one between this check and its use. Each
// test process starts its search at another port.
auto freeAddresses(std::size_t count) -> std::vector<std::string>
{
    constexpr int firstPort = 10240;
    constexpr int portCount = 20000;
    constexpr int portsOfProcess = 40;
    static int next = getpid() * portsOfProcess;
    boost::asio::io_context loop;
    std::vector<std::string> addresses;
    while (addresses.size() < count) {
        const auto port = static_cast<unsigned short>(firstPort + next++ % portCount);
        boost::asio::ip::tcp::acceptor trial{loop, boost::asio::ip::tcp::v4()};
        boost::system::error_code taken;
        trial.bind({boost::asio::ip::make_address("127.0.0.1"), port}, taken);
        if (!taken) {
            addresses.push_back("127.0.0.1:" + std::to_string(port));
        }
    }
    return addresses;
}

auto binary(const std::string &name) -> std::string
{
    return std::string{POPLARPASS_BIN_DIR} + "/" + name;
}
} // namespace

deployment::deployment(int entries, int controls, int workers)
    : m_workers{workers}
{
    static int number = 0;
    m_folder = std::filesystem::temp_directory_path()
        / ("poplarpass-test-" + std::to_string(getpid()) + "-" + std::to_string(++number));
    std::filesystem::create_directories(m_folder);
    m_platform =
        std::make_unique<child_process>(binary("poplarpass-standins"),
                                        std::vector<std::string>{"all", "--count", std::to_string(workers), "--pools",
                                                                 "quick,slow", "--seed", std::to_string(baseSeed())});
    m_log = fieldOf(m_platform->waitForLine("role=log").value_or(""), "address");
    m_hostList = fieldOf(m_platform->waitForLine("role=hostlist").value_or(""), "address");
    m_journal = fieldOf(m_platform->waitForLine("role=workers").value_or(""), "address");
    for (int index = 1; index <= entries; ++index) {
        m_entries.push_back("entry-" + std::to_string(index));
    }
    m_names = m_entries;
    for (int index = 1; index <= controls; ++index) {
        m_names.push_back("control-" + std::to_string(index));
    }
    m_peerPorts = freeAddresses(m_names.size());
    std::vector<std::string> proxyArguments{"proxy"};
    for (const auto &address : m_peerPorts) {
        proxyArguments.insert(proxyArguments.end(), {"--listen", "127.0.0.1:0", "--to", address});
    }
    m_proxy = std::make_unique<child_process>(binary("poplarpass-standins"), proxyArguments);
    m_proxy->waitForLine("role=proxy-control");
    for (const auto &line : m_proxy->linesWith("role=proxy ")) {
        m_proxies.push_back(fieldOf(line, "address"));
    }
    m_proxyControl = fieldOf(m_proxy->waitForLine("role=proxy-control").value_or(""), "address");
    for (std::size_t index = 0; index < m_names.size(); ++index) {
        writeSettings(m_names[index], index < m_entries.size() ? "entry" : "control", index);
        start(m_names[index]);
    }
}

deployment::~deployment()
{
    for (const auto &[name, running] : m_processes) {
        running->signal(SIGCONT);
    }
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

auto deployment::settingsOf(const std::string &name) const -> std::string
{
    return (m_folder / (name + ".toml")).string();
}

auto deployment::writeSettings(const std::string &name, const std::string &kind, std::size_t index) -> void
{
    std::ofstream out{settingsOf(name)};
    out << "[process]\nname = \"" << name << "\"\nregion = \"region-1\"\nzone = \"zone-" << index % 3 + 1 << "\"\n"
        << "[listen]\n";
    if (kind == "entry") {
        out << "callers = \"127.0.0.1:0\"\n";
    }
    out << "peers = \"" << m_peerPorts[index] << "\"\nadvertise = \"" << m_proxies.at(index) << "\"\n"
        << "admin = \"127.0.0.1:0\"\n"
        << "[deployment]\nname = \"test\"\nzones = [\"zone-1\", \"zone-2\", \"zone-3\"]\n"
        << "secret = \"a key for this test only\"\n"
        << "[platform]\nlog = \"" << m_log << "\"\nhost_list = \"" << m_hostList << "\"\n";
    for (std::size_t peer = 0; peer < m_names.size(); ++peer) {
        out << "[[peers]]\nname = \"" << m_names[peer] << "\"\naddress = \"" << m_proxies[peer] << "\"\nkind = \""
            << (peer < m_entries.size() ? "entry" : "control") << "\"\n";
    }
}

auto deployment::start(const std::string &name) -> child_process &
{
    const auto verb = name.substr(0, name.find('-'));
    m_processes[name] = std::make_unique<child_process>(binary("poplarpass"),
                                                        std::vector<std::string>{verb, "--config", settingsOf(name)});
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

auto deployment::publish(int quickDemand, const std::string &basedOn) -> std::string
{
    static int number = 0;
    const auto file = (m_folder / ("fleet-" + std::to_string(++number) + ".toml")).string();
    std::ofstream{file} << fleetText(quickDemand);
    std::vector<std::string> arguments{"profile", "publish", "--fleet", file};
    if (!basedOn.empty()) {
        arguments.insert(arguments.end(), {"--based-on", basedOn});
    }
    return run(std::move(arguments));
}

auto deployment::run(std::vector<std::string> arguments) -> std::string
{
    arguments.insert(arguments.end(), {"--config", settingsOf(m_names.front())});
    child_process verb{binary("poplarpass"), std::move(arguments)};
    verb.waitForExit(std::chrono::seconds{60});
    std::string output;
    for (const auto &line : verb.linesWith("")) {
        output += line + "\n";
    }
    return output;
}

auto deployment::callers(const std::string &name) -> std::string
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
        std::this_thread::sleep_for(pollPause);
    }
    return true;
}

auto deployment::awaitReady() -> bool
{
    const bool ready = eventually([this] {
        const auto first = status(m_entries.front());
        if (first.value("members", json::array()).size() != m_names.size()) {
            return false;
        }
        int serving = 0;
        for (const auto &pool : first.value("pools", json::array())) {
            serving += pool.value("serving_slots", 0);
        }
        if (serving != m_workers * 8) {
            m_lastProblem = "unexpected number of serving slots: " + std::to_string(serving);
            return false;
        }
        for (const auto &name : m_entries) {
            const auto answer = httpCall(callers(name), "POST", "/v1/jobs", jobBody(mintKey(), 1));
            if (answer.status != 200) {
                m_lastProblem = name + " returned HTTP status " + std::to_string(answer.status) + ' ' + answer.body;
                return false;
            }
        }
        return true;
    });
    if (!ready) {
        std::cout << "deployment not ready at the time limit: " << m_lastProblem << '\n';
    }
    return ready;
}

auto deployment::logFault(const json &faults) -> void
{
    httpCall(m_log, "POST", "/fault", faults.dump());
}

auto deployment::cutPeer(const std::string &name, const json &faults) -> void
{
    const auto place = static_cast<std::size_t>(std::ranges::find(m_names, name) - m_names.begin());
    httpCall(m_proxyControl, "POST", "/fault?pair=" + std::to_string(place), faults.dump());
}

auto deployment::journal() -> json
{
    return json::parse(httpCall(m_journal, "GET", "/journal").body, nullptr, false);
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
    return m_entries;
}

auto mintKey() -> std::string
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
