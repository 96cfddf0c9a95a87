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
    add("help", "print this");
    add("verb", po::value<std::string>(), "what to run");
    add("listen", po::value<std::vector<std::string>>(), "IP:port; repeated for a proxy");
    add("to", po::value<std::vector<std::string>>(), "target IP:port of a proxy; repeated");
    add("control", po::value<std::string>()->default_value("127.0.0.1:0"), "control IP:port of proxy and workers");
    add("hostlist-listen", po::value<std::string>()->default_value("127.0.0.1:0"), "with all: IP:port");
    add("log-listen", po::value<std::string>()->default_value("127.0.0.1:0"), "with all: IP:port");
    add("inventory", po::value<std::string>()->default_value(""), "JSON or TOML file of the workers");
    add("register", po::value<std::string>()->default_value(""), "IP:port of the host list");
    add("count", po::value<int>()->default_value(8), "workers to generate");
    add("pools", po::value<std::string>()->default_value("pool-1"), "their pools, separated by commas");
    add("lag-ms", po::value<std::int64_t>()->default_value(1000), "lag of the host list");
    add("reboot-ms", po::value<std::int64_t>()->default_value(500), "time of a worker's reboot");
    add("usage-lag-ms", po::value<std::int64_t>()->default_value(1000), "lag of the workers' usage figures");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed of random faults");
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
        throw std::invalid_argument{"a proxy needs as many --listen as --to"};
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
