#include "standin_options.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <stdexcept>

namespace standins
{
namespace po = boost::program_options;
using std::chrono::milliseconds;

namespace
{
auto describeOptions() -> po::options_description
{
    po::options_description description{"poplarpass-standins VERB [OPTIONS]; verbs: log hostlist workers proxy "
                                        "collector all"};
    auto add = description.add_options();
    add("help", "print this help");
    add("verb", po::value<std::string>(), "stand-in to run");
    add("listen", po::value<std::vector<std::string>>(), "IP:port to listen on; repeatable for a proxy");
    add("to", po::value<std::vector<std::string>>(), "target IP:port of a proxy; once per --listen");
    add("control", po::value<std::string>()->default_value("127.0.0.1:0"),
        "IP:port of the control port of proxy and workers");
    add("hostlist-listen", po::value<std::string>()->default_value("127.0.0.1:0"),
        "IP:port of the host list with verb all");
    add("log-listen", po::value<std::string>()->default_value("127.0.0.1:0"), "IP:port of the log with verb all");
    add("inventory", po::value<std::string>()->default_value(""),
        "JSON or TOML inventory file of the workers; generated if empty");
    add("register", po::value<std::string>()->default_value(""),
        "IP:port of the host list to register the workers with");
    add("count", po::value<int>()->default_value(8), "number of workers to generate");
    add("pools", po::value<std::string>()->default_value("pool-1"), "comma-separated pools of the generated workers");
    add("lag-ms", po::value<std::int64_t>()->default_value(1000),
        "milliseconds until a change is visible in the host list");
    add("reboot-ms", po::value<std::int64_t>()->default_value(500), "duration of a worker reboot in milliseconds");
    add("usage-lag-ms", po::value<std::int64_t>()->default_value(1000),
        "age of the reported worker usage in milliseconds");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed for random faults of the log");
    return description;
}

auto stringList(const po::variables_map &values, const char *name) -> std::vector<std::string>
{
    return values.count(name) > 0 ? values[name].as<std::vector<std::string>>() : std::vector<std::string>{};
}

auto makeRoutes(const std::vector<std::string> &listen, const std::vector<std::string> &targets)
    -> std::vector<fault_proxy::route>
{
    if (listen.size() != targets.size() || listen.empty()) {
        throw std::invalid_argument{"proxy requires at least one --listen and as many --to as --listen"};
    }
    std::vector<fault_proxy::route> routes;
    for (std::size_t index = 0; index < listen.size(); ++index) {
        routes.push_back({listen[index], targets[index]});
    }
    return routes;
}

auto makeOptions(const po::variables_map &values) -> standin_options
{
    standin_options options;
    const auto listen = stringList(values, "listen");
    options.verb = values["verb"].as<std::string>();
    options.listen = listen.empty() ? values["control"].as<std::string>() : listen.front();
    options.hostListListen = values["hostlist-listen"].as<std::string>();
    options.logListen = values["log-listen"].as<std::string>();
    options.inventory = values["inventory"].as<std::string>();
    options.registrationAddress = values["register"].as<std::string>();
    options.count = values["count"].as<int>();
    boost::algorithm::split(options.pools, values["pools"].as<std::string>(), boost::algorithm::is_any_of(","));
    options.hostListLag = milliseconds{values["lag-ms"].as<std::int64_t>()};
    options.worker.rebootTime = milliseconds{values["reboot-ms"].as<std::int64_t>()};
    options.worker.usageLag = milliseconds{values["usage-lag-ms"].as<std::int64_t>()};
    options.seed = values["seed"].as<std::uint64_t>();
    if (options.verb == "proxy") {
        options.routes = makeRoutes(listen, stringList(values, "to"));
        options.listen = values["control"].as<std::string>();
    }
    return options;
}
} // namespace

auto parseOptions(int argc, char *argv[]) -> std::optional<standin_options>
{
    const auto description = describeOptions();
    po::positional_options_description positional;
    positional.add("verb", 1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
    po::notify(values);
    if (values.count("help") > 0 || values.count("verb") == 0) {
        std::cout << description;
        return std::nullopt;
    }
    return makeOptions(values);
}
} // namespace standins
