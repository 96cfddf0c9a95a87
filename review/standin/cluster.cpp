#include "cluster.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
using nlohmann::json;

namespace
{
constexpr const char *hostName = "pule25.example";
constexpr const char *prefix = "/puxa400/";
constexpr unsigned longestCaseS = 115;
constexpr std::int64_t clientDeadlineMs = 3000;
} // namespace

HostProcess::HostProcess(std::string name, std::string program, std::string folder, std::string store,
                         std::string cloud)
    : m_name{std::move(name)}
    , m_program{std::move(program)}
    , m_folder{std::move(folder)}
    , m_settings{m_folder + "/" + m_name + ".toml"}
    , m_callers{freePort()}
    , m_readiness{freePort()}
{
    // The same keys and values as deploy/host.toml.template on a small machine.
    std::ofstream file{m_settings};
    file << "name = \"" << m_name << "\"\nzone = \"zone-a\"\nlog_level = \"info\"\n\n[listen]\ncallers = \""
         << callers() << "\"\nreadiness = \"127.0.0.1:" << m_readiness << "\"\npeers = \"127.0.0.1:" << freePort()
         << "\"\nmetrics = \"127.0.0.1:" << freePort() << "\"\n\n[platform]\nstore = \"" << store
         << "\"\nhost_service = \"" << cloud << "\"\nadvice = []\n\n[size]\nprocessor_share = 0.25\n"
         << "processor_speed = 1\nlink_mbps = 1000.0\n\n[timing]\nstop_grace_s = 6\nholder_term_ms = 3000\n";
}

HostProcess::~HostProcess()
{
    killAndWait();
}

void HostProcess::start()
{
    const auto parent = getpid();
    m_pid = fork();
    if (m_pid != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(1);
    }
    const int log = open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(m_program.c_str(), m_program.c_str(), "host", "--config", m_settings.c_str(), nullptr);
    _exit(127);
}

void HostProcess::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

void HostProcess::killAndWait()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        kill(m_pid, SIGCONT);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool HostProcess::isReady() const
{
    return call("127.0.0.1:" + std::to_string(m_readiness), "GET", "/api/readyz", {}, {}, 500).status == 200;
}

const std::string &HostProcess::name() const
{
    return m_name;
}

std::string HostProcess::callers() const
{
    return "127.0.0.1:" + std::to_string(m_callers);
}

std::string HostProcess::logPath() const
{
    return m_folder + "/" + m_name + ".log";
}

Cluster::Cluster(ClusterOptions options, const std::string &recordPath)
    : m_options{std::move(options)}
{
    const auto *base = std::getenv("TMPDIR");
    std::string folder = std::string{base != nullptr ? base : "/tmp"} + "/review-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error{"no temporary folder"};
    }
    m_folder = folder;
    m_record = std::make_unique<Record>(recordPath);
    m_store = std::make_unique<Store>(StoreLimits{});
    m_fleet = std::make_unique<Fleet>(m_options.fleet, *m_store, *m_record);
    const auto *program = std::getenv("POPLARPASS");
    for (int i = 0; i < m_options.hosts; ++i) {
        m_hosts.push_back(std::make_unique<HostProcess>("edge-zone-a-" + std::to_string(i + 1),
                                                        program != nullptr ? program : "target/bin/poplarpass",
                                                        m_folder, m_store->address(), m_fleet->cloudAddress()));
    }
}

Cluster::~Cluster()
{
    m_hosts.clear();
    m_fleet.reset();
    m_store.reset();
    const auto *keep = std::getenv("KEEP_LOGS");
    if (keep != nullptr) {
        std::filesystem::copy(m_folder, keep,
                              std::filesystem::copy_options::overwrite_existing
                                  | std::filesystem::copy_options::recursive);
    }
    std::filesystem::remove_all(m_folder);
}

bool Cluster::start()
{
    const json config{
        {"version", 7},
        {"routes",
         {{{"name", "r-search"},
           {"hostname", hostName},
           {"path_prefix", prefix},
           {"kind", "non_idempotent"},
           {"timeout_ms", 3000},
           {"target_latency_ms", 600},
           {"priority", 0},
           {"service", m_options.fleet.service},
           {"max_attempts", m_options.maxAttempts},
           {"stretch", 1.6}}}},
        {"services", {{{"name", m_options.fleet.service}, {"enforces_capacity", true}, {"standby", false}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}}}};
    m_store->put("keyed.op", "config", config.dump());
    for (auto &host : m_hosts) {
        host->start();
    }
    const bool isReady = waitFor(15000, [this] {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &host) { return host->isReady(); });
    });
    m_record->line(isReady ? "all processes are ready" : "the processes are not ready in time");
    sleepMs(2000);
    return isReady;
}

Record &Cluster::record()
{
    return *m_record;
}

Store &Cluster::store()
{
    return *m_store;
}

Fleet &Cluster::fleet()
{
    return *m_fleet;
}

HostProcess &Cluster::host(std::size_t index)
{
    return *m_hosts.at(index);
}

std::size_t Cluster::hostCount() const
{
    return m_hosts.size();
}

Reply Cluster::request(std::size_t host, const std::string &method, const std::string &id, const std::string &body,
                       std::int64_t timeoutMs)
{
    const std::map<std::string, std::string> headers{{"Host", hostName},
                                                     {"Content-Type", "application/json"},
                                                     {"Poplarpass-Deadline-Ms", std::to_string(clientDeadlineMs)}};
    auto reply = call(m_hosts.at(host)->callers(), method, prefix + id, headers, body, timeoutMs);
    m_record->line(
        "client: " + method + " " + id + " at " + m_hosts[host]->name() + ": "
        + (reply.status == 0 ? std::string{"no answer"} : std::to_string(reply.status) + " " + reply.body.substr(0, 80))
        + " after " + std::to_string(reply.ms) + " ms");
    return reply;
}

Reply Cluster::submit(std::size_t host, const std::string &id, const json &body, std::vector<std::int64_t> workMs,
                      std::int64_t timeoutMs)
{
    m_fleet->addJob(id, body, std::move(workMs));
    return request(host, "POST", id, body.dump(), timeoutMs);
}

bool Cluster::submitUntilAccepted(const std::string &id, const json &body, std::vector<std::int64_t> workMs,
                                  std::int64_t withinMs)
{
    const auto begin = nowMs();
    for (std::size_t i = 0; nowMs() - begin < withinMs; ++i) {
        const auto status = submit(i % m_hosts.size(), id, body, workMs).status;
        if (status >= 200 && status < 300) {
            return true;
        }
        sleepMs(500);
    }
    return false;
}

Reply Cluster::cancel(std::size_t host, const std::string &id)
{
    return request(host, "DELETE", id, {}, 3000);
}

std::string Cluster::state(const std::string &id, std::int64_t withinMs)
{
    const auto begin = nowMs();
    for (std::size_t i = 0; i == 0 || nowMs() - begin < withinMs; ++i) {
        const auto reply = request(i % m_hosts.size(), "GET", id, {}, 3000);
        if (reply.status == 410) {
            return "410";
        }
        const auto body = json::parse(reply.body, nullptr, false);
        if (reply.status == 200 && body.is_object()) {
            return body.value("state", std::string{"none"});
        }
        sleepMs(300);
    }
    return "none";
}

bool Cluster::waitFor(std::int64_t withinMs, const std::function<bool()> &condition)
{
    const auto begin = nowMs();
    while (!condition()) {
        if (nowMs() - begin >= withinMs) {
            return false;
        }
        sleepMs(10);
    }
    return true;
}

int runCase(int argc, char **argv, const std::function<int(const std::string &record, bool trouble)> &body)
{
    std::signal(SIGPIPE, SIG_IGN);
    alarm(longestCaseS);
    if (argc < 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return couldNotRun;
    }
    const auto *trouble = std::getenv("TROUBLE");
    try {
        const int result = body(argv[1], trouble == nullptr || std::string{trouble} != "0");
        std::cout << (result == ruleHeld         ? "the rule held"
                          : result == ruleBroken ? "the rule was broken"
                                                 : "could not run")
                  << "\n";
        return result;
    } catch (const std::exception &problem) {
        std::cerr << "could not run: " << problem.what() << "\n";
        return couldNotRun;
    }
}
} // namespace review
