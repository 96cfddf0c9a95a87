#include "single_host.h"

#include "deployment.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace tests
{
namespace
{
constexpr std::chrono::seconds answerLimit{60};
constexpr std::chrono::seconds callTimeout{20};
constexpr std::string_view configuration =
    R"({"version":1,"routes":[{"name":"q","hostname":"jobs.example","path_prefix":"/q/","kind":"non_idempotent",)"
    R"("timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"work","max_attempts":4,"stretch":1.6}],)"
    R"("services":[{"name":"work","enforces_capacity":true}],"limits":{"max_body_bytes":262144}})";
constexpr std::string_view job = R"({"spec":"test","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]})";

/// \brief Lowers the limit of open files for processes that are started during its life.
class descriptor_limit
{
public:
    explicit descriptor_limit(int limit)
    {
        getrlimit(RLIMIT_NOFILE, &m_former);
        auto lowered = m_former;
        lowered.rlim_cur = static_cast<rlim_t>(limit);
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit()
    {
        setrlimit(RLIMIT_NOFILE, &m_former);
    }
    descriptor_limit(const descriptor_limit &) = delete;
    auto operator=(const descriptor_limit &) -> descriptor_limit & = delete;

private:
    rlimit m_former{};
};

auto settingsText(const single_host &host, const std::string &platform, host_resources resources) -> std::string
{
    return "name = \"edge-1\"\nzone = \"zone-a\"\nlog_level = \"info\"\n[listen]\ncallers = \"" + host.callers
        + "\"\nreadiness = \"" + host.readiness + "\"\npeers = \"" + host.peers + "\"\nmetrics = \"" + host.metrics
        + "\"\n[platform]\nstore = \"" + platform + "\"\nhost_service = \"" + platform
        + "\"\nadvice = []\n[size]\nprocessor_share = 0.25\nprocessor_speed = 1\nlink_mbps = 1000.0\nmemory_mb = "
        + std::to_string(resources.memoryMb) + "\nmax_descriptors = " + std::to_string(resources.maxDescriptors)
        + "\n[timing]\nstop_grace_s = 6\nholder_term_ms = 3000\n";
}
} // namespace

single_host::single_host(host_resources resources)
{
    m_platform.put("keyed.op", "config", std::string{configuration});
    m_platform.start();
    const auto addresses = freeAddresses(4);
    callers = addresses[0];
    peers = addresses[1];
    readiness = addresses[2];
    metrics = addresses[3];
    m_settings = std::filesystem::temp_directory_path() / ("poplarpass-host-" + std::to_string(getpid()) + ".toml");
    std::ofstream{m_settings} << settingsText(*this, m_platform.address(), resources);
    const descriptor_limit limit{resources.maxDescriptors};
    m_process = std::make_unique<child_process>(binaryPath("poplarpass"),
                                                std::vector<std::string>{"host", "--config", m_settings.string()});
}

single_host::~single_host()
{
    m_process.reset();
    std::filesystem::remove(m_settings);
}

auto single_host::process() -> child_process &
{
    return *m_process;
}

auto single_host::acceptsJob(std::size_t bodyBytes) -> bool
{
    const auto number = std::to_string(++m_jobs);
    const auto target = "/q/a" + std::string(15 - number.size(), '0') + number;
    std::string body{job};
    body.resize(std::max(bodyBytes, body.size()), ' ');
    return deployment::eventually(
        [&] { return httpCall(callers, "POST", target, body, callTimeout, "jobs.example").status == 200; },
        answerLimit);
}

auto single_host::answersStatus() -> bool
{
    return deployment::eventually(
        [&] {
            return httpCall(readiness, "GET", "/api/readyz", {}, callTimeout).status == 200
                && httpCall(metrics, "GET", "/metrics", {}, callTimeout).status == 200;
        },
        answerLimit);
}
} // namespace tests
