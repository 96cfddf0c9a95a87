#include "worker_endpoint.h"

#include "json_http.h"
#include "worker_codec.h"

#include <poplarpass/platform/constants.h>
#include <poplarpass/platform/worker_names.h>

#include <random>

namespace standins
{
using nlohmann::json;
using poplarpass::net::http_request;
using poplarpass::net::http_response;
using poplarpass::platform::rejection;
using poplarpass::platform::start_outcome;
using poplarpass::platform::start_request;
using poplarpass::platform::task_command;
using poplarpass::platform::worker_order;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{
// Connections accepted above the host's limit, so that starts beyond it are refused with no_slot.
constexpr std::size_t connectionsAboveLimit = 16;
constexpr std::string_view taskPrefix = "/tasks/";
constexpr std::uint64_t bootIdMask = (std::uint64_t{1} << 52U) - 1;

auto newBootId() -> std::uint64_t
{
    std::random_device device;
    return ((std::uint64_t{device()} << 32U) | device()) & bootIdMask;
}

auto serverLimits(int connections) -> poplarpass::net::server_limits
{
    poplarpass::net::server_limits limits;
    limits.maxConnections = static_cast<std::size_t>(connections) + connectionsAboveLimit;
    limits.drainIdleTimeout = milliseconds{50};
    return limits;
}
} // namespace

worker_endpoint::worker_endpoint(boost::asio::io_context &loop, inventory_host host, const worker_options &options)
    : m_loop{loop}
    , m_host{std::move(host)}
    , m_options{options}
    , m_assignment{m_host.pool}
    , m_leases{options.leaseTerm}
    , m_tasks{loop, m_journal}
    , m_bootId{newBootId()}
    , m_timers{loop}
    , m_address{m_host.listed.address.empty() ? "127.0.0.1:0" : m_host.listed.address}
{
    listen();
}

auto worker_endpoint::address() const -> std::string
{
    return m_address;
}

auto worker_endpoint::listed() const -> const poplarpass::platform::listed_host &
{
    return m_host.listed;
}

auto worker_endpoint::behaviour() const -> const worker_behaviour &
{
    return m_behaviour;
}

auto worker_endpoint::journal() const -> const run_journal &
{
    return m_journal;
}

auto worker_endpoint::bootId() const -> std::uint64_t
{
    return m_bootId;
}

auto worker_endpoint::journalJson() const -> json
{
    auto document = m_journal.toJson();
    document["host"] = m_host.listed.host.str();
    document["pool"] = m_assignment.pool();
    document["generation"] = m_assignment.generation();
    document["boot_id"] = m_bootId;
    document["draining"] = m_assignment.isDraining();
    document["running"] = m_tasks.running();
    return document;
}

auto worker_endpoint::listen() -> void
{
    m_server = std::make_unique<poplarpass::net::http_server>(
        m_loop, m_address, serverLimits(m_host.listed.connections),
        [this](const http_request &message, const responder_ptr &responder) { handle(message, responder); });
    m_address = m_server->address();
    m_host.listed.address = m_address;
}

auto worker_endpoint::handle(const http_request &message, const responder_ptr &responder) -> void
{
    if (message.path() == "/journal") {
        responder->respond(jsonResponse(200, journalJson()));
    } else if (message.path() == "/behaviour") {
        const auto document = jsonBody(message);
        responder->respond(jsonResponse(document ? 200 : 400, json::object()));
        if (document) {
            setBehaviour(decodeBehaviour(*document, m_behaviour));
        }
    } else if (m_behaviour.freeze) {
        m_frozenRequests.emplace_back([this, message, responder] { handleWorkRequest(message, responder); });
    } else {
        handleWorkRequest(message, responder);
    }
}

auto worker_endpoint::handleWorkRequest(const http_request &message, const responder_ptr &responder) -> void
{
    const bool isPost = message.method == "POST";
    if (isPost && message.path() == "/tasks") {
        handleStart(message, responder);
    } else if (isPost && message.path() == "/order") {
        responder->respond(handleOrder(message));
    } else if (isPost && message.path() == "/lease") {
        responder->respond(handleLease(message));
    } else if (message.path().starts_with(taskPrefix)) {
        responder->respond(handleTask(message));
    } else {
        responder->respond(errorResponse(404, "unknown path"));
    }
}

auto worker_endpoint::handleTask(const http_request &message) -> http_response
{
    const auto rest = message.path().substr(taskPrefix.size());
    const auto slash = rest.find('/');
    const auto taskId = poplarpass::net::percentDecode(rest.substr(0, slash));
    if (slash == std::string_view::npos) {
        return taskResponse(taskId);
    }
    const auto command = poplarpass::platform::fromName<task_command>(rest.substr(slash + 1));
    if (message.method != "POST" || !command) {
        return errorResponse(404, "unknown command");
    }
    m_tasks.command(taskId, *command);
    return taskResponse(taskId);
}

auto worker_endpoint::taskResponse(const std::string &taskId) const -> http_response
{
    auto report = m_tasks.report(taskId);
    report.bootId = m_bootId;
    return encodeTaskReport(taskId, std::move(report));
}

auto worker_endpoint::handleLease(const http_request &message) -> http_response
{
    const auto request = decodeLease(message);
    if (!request) {
        return errorResponse(400, "not a lease request");
    }
    if (m_rebooting) {
        return errorResponse(503, "rebooting");
    }
    if (request->pool.str() != m_assignment.pool() || request->generation != m_assignment.generation()) {
        return errorResponse(409, nameOf(rejection::wrong_pool));
    }
    return leaseResponse();
}

auto worker_endpoint::leaseResponse() -> http_response
{
    const auto now = steady_clock::now();
    recordUsage();
    return jsonResponse(200,
                        {{"lease_id", m_leases.grant(now)},
                         {"lease_term_ms", m_options.leaseTerm.count()},
                         {"boot_id", m_bootId},
                         {"pool", m_assignment.pool()},
                         {"generation", m_assignment.generation()},
                         {"leaving", m_assignment.isDraining()},
                         {"used_slots", m_slotUsage.valueAt(now, m_options.usageLag)},
                         {"used_connections", m_connectionUsage.valueAt(now, m_options.usageLag)}});
}

auto worker_endpoint::recordUsage() -> void
{
    const auto now = steady_clock::now();
    m_slotUsage.record(now, m_tasks.running());
    m_connectionUsage.record(now, m_server ? static_cast<int>(m_server->connectionCount()) : 0);
}

auto worker_endpoint::handleStart(const http_request &message, const responder_ptr &responder) -> void
{
    auto request = decodeStart(message);
    if (request.taskId.empty() || request.attemptId.empty()) {
        responder->respond(errorResponse(400, "not a start request"));
        return;
    }
    const auto reason = rejectionOf(request);
    if (reason == rejection::none) {
        run(std::move(request), responder);
    } else {
        responder->respond(reject(request, reason));
    }
}

auto worker_endpoint::rejectionOf(const start_request &request) const -> rejection
{
    const auto &host = m_host.listed;
    if (m_tasks.isDuplicate(request.taskId)) {
        return rejection::duplicate;
    }
    if (request.pool.str() != m_assignment.pool()) {
        return rejection::wrong_pool;
    }
    if (!m_leases.isValid(request.leaseId, steady_clock::now())) {
        return rejection::lease_lapsed;
    }
    if (m_assignment.isDraining() || m_rebooting) {
        return rejection::leaving;
    }
    if (request.cores > host.cores || request.memoryMb > host.memoryMb) {
        return rejection::too_small;
    }
    const bool connectionLimitExceeded = m_server && static_cast<int>(m_server->connectionCount()) > host.connections;
    return m_tasks.running() >= host.slots || connectionLimitExceeded ? rejection::no_slot : rejection::none;
}

auto worker_endpoint::reject(const start_request &request, rejection reason) -> http_response
{
    refusal_record record{request.taskId, request.attemptId, std::string{nameOf(reason)}, unixMilliseconds(), {}};
    if (const auto drainTime = m_assignment.drainingFor(steady_clock::now())) {
        record.sinceDrainMs = drainTime->count();
    }
    m_journal.recordRefusal(std::move(record));
    return encodeRejection(request, reason);
}

auto worker_endpoint::runTimeOf(const start_request &request) const -> microseconds
{
    const auto scaled = static_cast<double>(request.declaredRunTime.count()) * m_behaviour.runTimeFactor;
    return microseconds{static_cast<std::int64_t>(scaled)} + milliseconds{m_behaviour.slowStartMs};
}

auto worker_endpoint::run(start_request request, const responder_ptr &responder) -> void
{
    run_record record;
    record.taskId = request.taskId;
    record.attemptId = request.attemptId;
    record.pool = m_assignment.pool();
    record.kind = request.kind.str();
    record.bootId = m_bootId;
    record.startMs = unixMilliseconds();
    record.leaving = m_assignment.isDraining();
    const bool fails = m_behaviour.failAll || record.kind == "fail";
    const auto runTime = runTimeOf(request);
    auto payload = std::exchange(request.payload, {});
    m_tasks.start(std::move(record), std::move(payload), runTime, fails,
                  [this, responder, request = std::move(request)](start_outcome outcome, std::string output,
                                                                  microseconds elapsed) {
                      recordUsage();
                      responder->respond(encodeOutcome(request, outcome, std::move(output), elapsed));
                  });
    recordUsage();
}

auto worker_endpoint::handleOrder(const http_request &message) -> http_response
{
    const auto request = decodeOrder(message);
    if (!request) {
        return errorResponse(400, "not an order");
    }
    const auto previous = m_assignment.generation();
    const auto refusalReason = m_assignment.applyOrder(*request, m_tasks.running(), steady_clock::now());
    if (refusalReason) {
        return errorResponse(409, *refusalReason);
    }
    if (m_assignment.generation() != previous) {
        m_leases.revokeAll();
    }
    if (request->order == worker_order::reboot) {
        reboot();
    }
    return orderResponse();
}

auto worker_endpoint::orderResponse() const -> http_response
{
    return jsonResponse(200,
                        {{"running_jobs", m_tasks.running()},
                         {"boot_id", m_bootId},
                         {"draining", m_assignment.isDraining()},
                         {"pool", m_assignment.pool()},
                         {"generation", m_assignment.generation()}});
}

// Drains the server before stopping it, so that the response to the order is still sent.
auto worker_endpoint::reboot() -> void
{
    if (m_rebooting) {
        return;
    }
    m_rebooting = true;
    m_timers.after(milliseconds{0}, [this] {
        if (!m_server) {
            return;
        }
        m_server->setOnDrained([this] {
            m_server.reset();
            m_timers.after(m_options.rebootTime, [this] { restart(); });
        });
        m_server->drain();
    });
}

auto worker_endpoint::restart() -> void
{
    if (m_behaviour.crash || m_server) {
        return;
    }
    m_rebooting = false;
    m_tasks.clear();
    m_leases.revokeAll();
    m_bootId = newBootId();
    recordUsage();
    listen();
}

// The server is destroyed first, so that no response is sent for the lost tasks; this is deferred to the event loop, as
// the request that sets the crash may have arrived through it.
auto worker_endpoint::crash() -> void
{
    m_timers.after(milliseconds{0}, [this] {
        m_server.reset();
        m_frozenRequests.clear();
        m_tasks.clear();
        m_leases.revokeAll();
    });
}

auto worker_endpoint::unfreeze() -> void
{
    m_tasks.setFrozen(false);
    const auto waiting = std::exchange(m_frozenRequests, {});
    for (const auto &request : waiting) {
        request();
    }
}

auto worker_endpoint::setBehaviour(const worker_behaviour &behaviour) -> void
{
    const auto previous = std::exchange(m_behaviour, behaviour);
    if (m_behaviour.freeze && !previous.freeze) {
        m_tasks.setFrozen(true);
    } else if (!m_behaviour.freeze && previous.freeze) {
        unfreeze();
    }
    if (m_behaviour.crash && !previous.crash) {
        crash();
    } else if (!m_behaviour.crash && previous.crash) {
        m_timers.after(milliseconds{1}, [this] { restart(); });
    }
}
} // namespace standins
