#include "deployment.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace harness
{
using nlohmann::json;

namespace
{
constexpr std::chrono::milliseconds callTimeout{3000};
constexpr int firstHost = 11;

std::string readFile(const std::string &path)
{
    std::ifstream file{path};
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/// Renders a section {{#name}}..{{/name}}; without a value it is left out.
void renderSection(std::string &text, const std::string &name, const std::string &value)
{
    const auto begin = text.find("{{#" + name + "}}");
    const auto end = text.find("{{/" + name + "}}");
    if (begin == std::string::npos || end == std::string::npos) {
        return;
    }
    const auto bodyBegin = begin + name.size() + 5;
    auto body = text.substr(bodyBegin, end - bodyBegin);
    replaceAll(body, "{{.}}", value);
    text.replace(begin, end + name.size() + 5 - begin, value.empty() ? std::string{} : body);
}

/// Returns the begin of loopback addresses whose ports of hosts are free.
std::string freePrefix()
{
    std::random_device random;
    for (int attempt = 0; attempt < 20; ++attempt) {
        const auto prefix =
            "127." + std::to_string(16 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        if (isFree(prefix + std::to_string(firstHost), {8624, 8622, 7060, 9464})) {
            return prefix;
        }
    }
    throw std::runtime_error("no free ports");
}

/// Words of the deploy file's command after the program.
std::vector<std::string> commandOf()
{
    std::istringstream lines{readFile("deploy/system.toml")};
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("run = \"")) {
            std::istringstream words{line.substr(7, line.rfind('"') - 7)};
            return {std::istream_iterator<std::string>{words}, {}};
        }
    }
    throw std::runtime_error("no command in deploy/system.toml");
}
} // namespace

deployment::deployment(const std::string &folder, deployment_options options)
    : log{folder + "/record.txt"}
    , m_options{options}
    , m_template{readFile("deploy/host.toml.template")}
{
    std::string pattern = (std::filesystem::temp_directory_path() / "poplarpass-review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_temporary = pattern;
    prefix = freePrefix();
    store = std::make_unique<harness::store>();
    fleet = std::make_unique<harness::fleet>(*store, log, prefix + "2", options.limits);
    // Ports are the same on all machines.
    m_ports = {{"frontend", 8624}, {"readiness", 8622}, {"peers", 7060}};
    for (int index = 0; index < options.hosts; ++index) {
        host_process host;
        host.name = "edge-" + std::to_string(index + 1);
        host.ip = prefix + std::to_string(firstHost + index);
        host.frontend = host.ip + ":" + std::to_string(m_ports["frontend"]);
        host.readiness = host.ip + ":" + std::to_string(m_ports["readiness"]);
        host.settings = m_temporary + "/" + host.name + ".toml";
        host.log = m_temporary + "/" + host.name + ".log";
        host.door = store->addDoor(prefix + "1");
        std::ofstream{host.settings} << settingsOf(host, index);
        hosts.push_back(host);
    }
}

deployment::~deployment()
{
    store->onAppended = nullptr;
    for (auto &host : hosts) {
        kill(host);
    }
    fleet.reset();
    store.reset();
    if (const auto *kept = std::getenv("KEEP_LOGS"); kept != nullptr) {
        std::filesystem::copy(m_temporary, kept,
                              std::filesystem::copy_options::overwrite_existing
                                  | std::filesystem::copy_options::recursive);
    }
    std::filesystem::remove_all(m_temporary);
}

std::string deployment::settingsOf(const host_process &host, int index) const
{
    auto text = m_template;
    renderSection(text, "advice", "");
    renderSection(text, "bounds.strict_revoke", m_options.revokeMs > 0 ? "true" : "");
    const std::map<std::string, std::string> values{
        {"node_name", host.name},
        {"zone", index % 2 == 0 ? "zone-a" : "zone-b"},
        {"listen_addrs.frontend", host.frontend},
        {"listen_addrs.readiness", host.readiness},
        {"ip", host.ip},
        {"internal_ports.0", std::to_string(m_ports.at("peers"))},
        {"platform.address", store->address(host.door)},
        {"cloud_api.address", fleet->address()},
        {"limits.cpu_share", "0.25"},
        {"limits.cores", "1"},
        {"limits.link_mbps", "1000.0"},
        {"bounds.grace_s", "6"},
        {"bounds.lease_ttl_ms", "3000"},
        {"bounds.revoke_ms", std::to_string(m_options.revokeMs)},
    };
    for (const auto &[name, value] : values) {
        replaceAll(text, "{{" + name + "}}", value);
    }
    return text;
}

void deployment::publish(const std::string &config)
{
    log.write("operator writes op/config " + config);
    store->put("keyed.op", "config", config);
}

void deployment::start(host_process &host)
{
    auto words = commandOf();
    for (auto &word : words) {
        word = word == "/etc/poplarpass/boot.yaml" ? host.settings : word;
    }
    std::vector<char *> arguments;
    for (auto &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const int output = open(host.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    host.pid = fork();
    if (host.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    close(output);
    log.write("host " + host.name + " starts");
}

void deployment::kill(host_process &host)
{
    if (host.pid > 0) {
        ::kill(host.pid, SIGKILL);
        waitpid(host.pid, nullptr, 0);
        host.pid = -1;
        log.write("host " + host.name + " is killed");
    }
}

bool deployment::startHosts()
{
    for (auto &host : hosts) {
        start(host);
    }
    return waitFor(15'000, [this] {
        for (const auto &host : hosts) {
            const auto ready = sendRequest(host.readiness, "GET", "/api/readyz", {{"Host", "x"}}, "", callTimeout);
            if (!ready || ready->status != 200) {
                return false;
            }
        }
        return owner() != nullptr;
    });
}

host_process *deployment::owner()
{
    for (auto &host : hosts) {
        if (host.pid <= 0) {
            continue;
        }
        const auto metrics = sendRequest(host.ip + ":9464", "GET", "/metrics", {{"Host", "x"}}, "", callTimeout);
        if (metrics && metrics->body.find("\npoplarpass_owns_pools 1") != std::string::npos) {
            return &host;
        }
    }
    return nullptr;
}

int deployment::call(const host_process &host, const std::string &method, const std::string &path,
                     const std::string &body, const std::map<std::string, std::string> &headers, std::string *answer)
{
    auto all = headers;
    all["Host"] = "jobs.example";
    all["Content-Type"] = "application/json";
    all["Poplarpass-Deadline-Ms"] = std::to_string(callTimeout.count());
    log.write("client sends " + method + " " + path + " to " + host.name);
    const auto response = sendRequest(host.frontend, method, path, all, body, callTimeout);
    log.write("client gets " + (response ? std::to_string(response->status) + " " + response->body : "no answer")
              + " to " + method + " " + path);
    if (answer != nullptr && response) {
        *answer = response->body;
    }
    return response ? response->status : 0;
}

bool withTrouble()
{
    const auto *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string{trouble} != "0";
}

std::string jobBody(const std::vector<step_plan> &steps)
{
    json list = json::array();
    for (const auto &step : steps) {
        json entry{{"count", step.count}, {"cpu", step.cpu}, {"mem_mb", step.memMb}, {"estimate_ms", step.runMs}};
        if (step.gang) {
            entry["gang_scheduled"] = true;
        }
        if (!step.requirement.empty()) {
            entry["requirements"] = step.requirement;
        }
        if (!step.affinity.empty()) {
            entry["affinity"] = step.affinity;
        }
        if (step.antiAffinity > 0) {
            entry["anti_affinity"] = step.antiAffinity;
        }
        list.push_back(entry);
    }
    return json{{"spec", "review"}, {"steps", list}}.dump();
}
} // namespace harness
