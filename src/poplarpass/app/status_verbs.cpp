#include <poplarpass/app/operator_session.h>
#include <poplarpass/app/operator_verbs.h>
#include <poplarpass/app/status_server.h>

#include <nlohmann/json.hpp>

#include <ostream>

namespace poplarpass::app
{
namespace
{
using nlohmann::json;

constexpr core::duration watchPeriod = std::chrono::seconds{1};
constexpr core::duration jobQueryTimeout = std::chrono::seconds{5};
constexpr int httpErrorBegin = 400;

auto printText(const json &described, console &streams) -> void
{
    streams.out << "offset=" << described["offset"] << " revision=" << described["revision"]
                << " holder=" << described["control"]["holder"].get<std::string>()
                << " control_epoch=" << described["control"]["epoch"] << " members=" << described["members"].size()
                << '\n';
    for (const auto &pool : described["pools"]) {
        streams.out << "pool=" << pool["name"].get<std::string>() << " serving=" << pool.value("serving_slots", 0)
                    << " required=" << pool.value("required_slots", 0)
                    << " worst_loss=" << pool.value("worst_loss_slots", 0) << " spare=" << pool.value("spare_slots", 0)
                    << " planned_out=" << pool.value("planned_out", 0)
                    << " unplanned_out=" << pool.value("unplanned_out", 0) << '\n';
    }
    for (const auto &wave : described["waves"]) {
        streams.out << "wave=" << wave["name"].get<std::string>() << " done=" << wave["hosts_done"]
                    << " out=" << wave["hosts_out"] << " hosts=" << wave["hosts"] << " finished=" << wave["finished"]
                    << '\n';
    }
}

auto printState(const operator_session &session, const parsed_options &options, console &streams) -> void
{
    const auto described = describeState(session.state());
    if (options.format() == output_format::json) {
        streams.out << described << std::endl;
        return;
    }
    printText(json::parse(described), streams);
    streams.out.flush();
}

auto status(const parsed_options &options, console &streams) -> exit_code
{
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    printState(session, options, streams);
    while (options.has("watch")) {
        session.runUntil([] { return false; }, watchPeriod);
        printState(session, options, streams);
    }
    return exit_code::success;
}

auto phaseName(replication::host_phase phase) -> std::string_view
{
    switch (phase) {
    case replication::host_phase::serving:
        return "serving";
    case replication::host_phase::moving_out:
        return "moving_out";
    case replication::host_phase::drained:
        return "drained";
    case replication::host_phase::draining:
        return "draining";
    case replication::host_phase::rebooting:
        return "rebooting";
    }
    return "serving";
}

auto hostJson(const replication::host_state &host) -> json
{
    return {{"host", host.description.host.str()},
            {"pool", host.pool.str()},
            {"generation", host.generation},
            {"phase", phaseName(host.phase)},
            {"down", host.down},
            {"moving_to", host.movingTo.str()},
            {"wave", host.wave.str()},
            {"rack", host.description.rack.str()},
            {"zone", host.description.zone.str()},
            {"slots", host.description.slots},
            {"maintained_at", host.maintainedAt}};
}

auto showHost(const parsed_options &options, console &streams) -> exit_code
{
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    bool found = false;
    for (const auto &host : session.state().hosts()) {
        const bool selected = options.arguments().empty() || options.arguments().front() == host.description.host.str();
        if (!selected) {
            continue;
        }
        found = true;
        const auto described = hostJson(host);
        if (options.format() == output_format::json) {
            streams.out << described.dump() << '\n';
            continue;
        }
        for (const auto &[name, value] : described.items()) {
            streams.out << name << '=' << (value.is_string() ? value.get<std::string>() : value.dump()) << ' ';
        }
        streams.out << '\n';
    }
    if (!found && !options.arguments().empty()) {
        streams.err << "no host '" << options.arguments().front() << "'\n";
        return exit_code::failure;
    }
    return exit_code::success;
}

auto reportNoAnswer(const parsed_options &options, const std::optional<core::result<net::http_response>> &answer,
                    console &streams) -> exit_code
{
    const bool isMalformed = answer && answer->error().kind == core::error_kind::invalid_request;
    streams.err << "entry " << options.value("entry")
                << (isMalformed ? ": --entry must be IP:port; see --help\n" : " did not answer\n");
    return isMalformed ? exit_code::usage : exit_code::failure;
}

auto showJob(const parsed_options &options, console &streams) -> exit_code
{
    operator_session session{options.value("config"), streams};
    if (const auto failureCode = session.failureCode()) {
        return *failureCode;
    }
    net::http_request request;
    request.target = "/v1/jobs/" + net::percentEncode(options.arguments().front());
    std::optional<core::result<net::http_response>> answer;
    session.process().http.send(
        options.value("entry"), std::move(request), jobQueryTimeout,
        [&answer](core::result<net::http_response> response, net::sent_state) { answer = std::move(response); });
    session.runUntil([&answer] { return answer.has_value(); }, jobQueryTimeout + watchPeriod);
    if (!answer || !*answer) {
        return reportNoAnswer(options, answer, streams);
    }
    const bool isKnown = (*answer)->status < httpErrorBegin;
    (isKnown ? streams.out : streams.err) << (*answer)->body << '\n';
    return isKnown ? exit_code::success : exit_code::failure;
}
} // namespace

auto statusVerbs() -> std::vector<verb>
{
    const option_spec watch{"watch", "prints again every second until interrupted", false, false, ""};
    const option_spec entry{"entry", "IP:port on which an entry listens for callers", true, true, ""};
    return {
        {"status", "shows members, budgets and waves", "", {configOption(), watch, formatOption()}, status},
        {"host show", "shows one host or all", "[HOST]", {configOption(), formatOption()}, showHost},
        {"job show",
         "shows the state or the answer of a job, asked of an entry",
         "KEY",
         {configOption(), entry, formatOption()},
         showJob},
    };
}
} // namespace poplarpass::app
