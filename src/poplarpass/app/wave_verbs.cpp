#include <poplarpass/app/clock.h>
#include <poplarpass/app/operator_session.h>
#include <poplarpass/app/operator_verbs.h>
#include <poplarpass/app/status_server.h>
#include <poplarpass/config.h>
#include <poplarpass/control.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <ostream>
#include <span>

namespace poplarpass::app
{
namespace
{
using nlohmann::json;

constexpr core::duration planHorizon = std::chrono::hours{24 * 42};

auto splitNames(const std::string &text) -> std::vector<core::pool_id>
{
    std::vector<core::pool_id> names;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        names.emplace_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return names;
}

auto findUnknownPool(std::span<const core::pool_id> names, const config::fleet_config &config)
    -> std::optional<core::pool_id>
{
    const auto unknown = std::ranges::find_if(names, [&config](const core::pool_id &name) {
        return std::ranges::find(config.pools, name, &config::pool::name) == config.pools.end();
    });
    return unknown == names.end() ? std::nullopt : std::optional{*unknown};
}

auto printStep(const control::plan_step &step, bool placed, core::wall_time from, const parsed_options &options,
               console &streams) -> void
{
    const auto startsIn = std::chrono::duration_cast<std::chrono::minutes>(step.earliestStart - from).count();
    if (options.format() == output_format::json) {
        json line{{"host", step.host.str()},
                  {"pool", step.pool.str()},
                  {"rack", step.rack.str()},
                  {"zone", step.zone.str()},
                  {"limit", control::nameOf(step.limit)},
                  {"explanation", step.explanation}};
        line["start_in_minutes"] = placed ? json(startsIn) : json(nullptr);
        streams.out << line.dump() << '\n';
        return;
    }
    streams.out << (placed ? "in " + std::to_string(startsIn) + " min" : std::string{"not within the horizon"})
                << " host=" << step.host.str() << " pool=" << step.pool.str() << " rack=" << step.rack.str()
                << " zone=" << step.zone.str() << " limit=" << control::nameOf(step.limit) << " (" << step.explanation
                << ")\n";
}

auto plan(const parsed_options &options, console &streams) -> exit_code
{
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    const auto &state = session.state();
    replication::wave_state wave;
    wave.name = core::wave_id{"plan"};
    wave.pools = splitNames(options.value("pools"));
    if (const auto unknown = findUnknownPool(wave.pools, state.config())) {
        streams.err << "no pool '" << unknown->str() << "'\n";
        return exit_code::failure;
    }
    wave.startedAt = state.offset();
    control::plan_assumptions assumptions;
    assumptions.horizon = planHorizon;
    const auto now = wallNow();
    const auto planned = control::planWave(control::makePlanningView(state.config(), state.hosts()), wave,
                                           control::leastLossPolicy(config::isOpen), config::isOpen, now, assumptions);
    for (const auto &step : planned.steps) {
        printStep(step, true, now, options, streams);
    }
    for (const auto &step : planned.unplaced) {
        printStep(step, false, now, options, streams);
    }
    return planned.unplaced.empty() ? exit_code::success : exit_code::refused;
}

auto publishAction(replication::wave_action action, const parsed_options &options, console &streams) -> exit_code
{
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    replication::wave_record change;
    change.action = action;
    change.wave = core::wave_id{options.arguments().front()};
    change.pools = splitNames(options.value("pools"));
    change.operatorName = options.value("operator");
    const auto outcome = session.publish(session.makeRecordId("wave"), change);
    return reportOutcome(outcome, "wave " + change.wave.str(), options, streams);
}

auto status(const parsed_options &options, console &streams) -> exit_code
{
    const auto opened = openSession(options, streams);
    if (!opened) {
        return opened.error();
    }
    auto &session = **opened;
    const auto described = json::parse(describeState(session.state()));
    for (const auto &wave : described["waves"]) {
        if (options.format() == output_format::json) {
            streams.out << wave.dump() << '\n';
            continue;
        }
        streams.out << "wave=" << wave["name"].get<std::string>() << " state="
                    << (wave["finished"]     ? "finished"
                            : wave["paused"] ? "paused"
                                             : "running")
                    << " done=" << wave["hosts_done"] << " out=" << wave["hosts_out"] << " hosts=" << wave["hosts"]
                    << '\n';
    }
    return exit_code::success;
}
} // namespace

auto waveVerbs() -> std::vector<verb>
{
    const option_spec pools{"pools", "pools of the wave, separated by commas; default: all", true, false, ""};
    const option_spec who{"operator", "name of the operator, stored with the record", true, false, "operator"};
    const auto verbOf = [&](std::string name, std::string meaning, replication::wave_action action) -> verb {
        return {std::move(name),
                std::move(meaning),
                "NAME",
                {configOption(), pools, who, formatOption()},
                [action](const parsed_options &options, console &streams) {
                    return publishAction(action, options, streams);
                }};
    };
    return {
        {"wave plan",
         "shows which hosts a wave would drain, when, and which limit delays each of them",
         "",
         {configOption(), pools, formatOption()},
         plan},
        verbOf("wave start", "starts a maintenance wave", replication::wave_action::start),
        verbOf("wave pause", "pauses a wave: no further drains are started", replication::wave_action::pause),
        verbOf("wave resume", "resumes a paused wave", replication::wave_action::resume),
        {"wave status", "shows the progress of waves", "", {configOption(), formatOption()}, status},
    };
}
} // namespace poplarpass::app
