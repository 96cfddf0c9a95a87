#include <poplarpass/app/status_server.h>
#include <poplarpass/replication/budget.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace poplarpass::app
{
namespace
{
using nlohmann::json;

auto describeBudget(const replication::fleet_state &state, const config::pool &pool) -> json
{
    json described{{"name", pool.name.str()}, {"profile", pool.profile.str()}, {"demand_slots", pool.demandSlots}};
    if (const auto *profile = state.findProfile(pool.profile)) {
        const auto budget = replication::evaluateBudget(pool, *profile, state.hosts());
        described["serving_slots"] = budget.servingSlots;
        described["required_slots"] = budget.requiredSlots;
        described["worst_loss_slots"] = budget.worstLossSlots;
        described["spare_slots"] = budget.spareSlots();
        described["planned_out"] = budget.plannedOut;
        described["unplanned_out"] = budget.unplannedOut;
    }
    return described;
}

auto describeMember(const replication::member_state &member) -> json
{
    return {{"name", member.joined.member.str()},
            {"kind", member.joined.kind == replication::member_kind::entry ? "entry" : "control"},
            {"incarnation", member.joined.incarnation},
            {"address", member.joined.address},
            {"zone", member.joined.zone.str()}};
}

auto describeWave(const replication::fleet_state &state, const replication::wave_state &wave) -> json
{
    int done = 0;
    int out = 0;
    for (const auto &host : state.hosts()) {
        done += host.maintainedAt > wave.startedAt ? 1 : 0;
        out += host.wave == wave.name
                && (host.phase == replication::host_phase::draining || host.phase == replication::host_phase::rebooting)
            ? 1
            : 0;
    }
    return {{"name", wave.name.str()}, {"paused", wave.paused}, {"finished", wave.finished},
            {"hosts_done", done},      {"hosts_out", out},      {"hosts", state.hosts().size()}};
}
} // namespace

status_server::status_server(process_runtime &process, std::function<std::string()> status,
                             std::function<void()> beforeMetrics)
    : m_process{process}
    , m_status{std::move(status)}
    , m_beforeMetrics{std::move(beforeMetrics)}
{
}

auto status_server::start() -> void
{
    m_server = std::make_unique<net::http_server>(
        m_process.loop, m_process.settings.listen.admin, net::server_limits{},
        [this](const net::http_request &request, const std::shared_ptr<net::responder> &caller) {
            caller->respond(answer(request));
        });
    m_process.log.log(observe::log_level::info, "listening", {{"role", "admin"}, {"address", m_server->address()}});
}

auto status_server::stop() -> void
{
    m_server.reset();
}

auto status_server::answer(const net::http_request &request) -> net::http_response
{
    const auto path = request.path();
    if (path == "/metrics") {
        m_beforeMetrics();
        return net::makeResponse(200, m_process.metrics.render(), observe::metricsContentType);
    }
    if (path == "/status") {
        return net::makeResponse(200, m_status());
    }
    if (path == "/healthz") {
        return net::makeResponse(200, R"({"alive":true})");
    }
    return net::makeResponse(404, R"({"error":"invalid_request","detail":"no such page"})");
}

auto describeState(const replication::fleet_state &state) -> std::string
{
    json described{{"offset", state.offset()},
                   {"digest", state.digest()},
                   {"revision", state.revision()},
                   {"member_epoch", state.memberEpoch()},
                   {"control", {{"holder", state.control().holder.str()}, {"epoch", state.control().epoch}}}};
    described["members"] = json::array();
    for (const auto &member : state.members()) {
        described["members"].push_back(describeMember(member));
    }
    described["pools"] = json::array();
    for (const auto &pool : state.config().pools) {
        described["pools"].push_back(describeBudget(state, pool));
    }
    described["waves"] = json::array();
    for (const auto &wave : state.waves()) {
        described["waves"].push_back(describeWave(state, wave));
    }
    return described.dump();
}
} // namespace poplarpass::app
