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
constexpr std::size_t spareConnections = 16;
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
    limits.maxConnections = static_cast<std::size_t>(connections) + spareConnections;
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
        [this](const http_request &message, const answer_handle &answer) { handle(message, answer); });
    m_address = m_server->address();
    m_host.listed.address = m_address;
}

auto worker_endpoint::handle(const http_request &message, const answer_handle &answer) -> void
{
    if (message.path() == "/journal") {
        answer->respond(jsonResponse(200, journalJson()));
    } else if (message.path() == "/behaviour") {
        const auto document = jsonBody(message);
        answer->respond(jsonResponse(document ? 200 : 400, json::object()));
        if (document) {
            setBehaviour(decodeBehaviour(*document, m_behaviour));
        }
    } else if (m_behaviour.freeze) {
        m_frozenRequests.emplace_back([this, message, answer] { handleWork(message, answer); });
    } else {
        handleWork(message, answer);
    }
}

auto worker_endpoint::handleWork(const http_request &message, const answer_handle &answer) -> void
{
    const bool posted = message.method == "POST";
    if (posted && message.path() == "/tasks") {
        start(message, answer);
    } else if (posted && message.path() == "/order") {
        answer->respond(order(message));
    } else if (posted && message.path() == "/lease") {
        answer->respond(lease(message));
    } else if (message.path().starts_with(taskPrefix)) {
        answer->respond(handleTask(message));
    } else {
        answer->respond(refusal(404, "unknown path"));
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
        return refusal(404, "unknown command");
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

auto worker_endpoint::lease(const http_request &message) -> http_response
{
    const auto wanted = decodeLease(message);
    if (!wanted) {
        return refusal(400, "not a lease request");
    }
    if (m_rebooting) {
        return refusal(503, "rebooting");
    }
    if (wanted->pool.str() != m_assignment.pool() || wanted->generation != m_assignment.generation()) {
        return refusal(409, nameOf(rejection::wrong_pool));
    }
    return leaseAnswer();
}

auto worker_endpoint::leaseAnswer() -> http_response
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

auto worker_endpoint::start(const http_request &message, const answer_handle &answer) -> void
{
    auto wanted = decodeStart(message);
    if (wanted.taskId.empty() || wanted.attemptId.empty()) {
        answer->respond(refusal(400, "not a start request"));
        return;
    }
    const auto reason = rejectionOf(wanted);
    if (reason == rejection::none) {
        run(std::move(wanted), answer);
    } else {
        answer->respond(reject(wanted, reason));
    }
}

auto worker_endpoint::rejectionOf(const start_request &wanted) const -> rejection
{
    const auto &host = m_host.listed;
    if (m_tasks.isDuplicate(wanted.taskId)) {
        return rejection::duplicate;
    }
    if (wanted.pool.str() != m_assignment.pool()) {
        return rejection::wrong_pool;
    }
    if (!m_leases.isValid(wanted.leaseId, steady_clock::now())) {
        return rejection::lease_lapsed;
    }
    if (m_assignment.isDraining() || m_rebooting) {
        return rejection::leaving;
    }
    if (wanted.cores > host.cores || wanted.memoryMb > host.memoryMb) {
        return rejection::too_small;
    }
    const bool connectionsTaken = m_server && static_cast<int>(m_server->connectionCount()) > host.connections;
    return m_tasks.running() >= host.slots || connectionsTaken ? rejection::no_slot : rejection::none;
}

auto worker_endpoint::reject(const start_request &wanted, rejection reason) -> http_response
{
    refusal_record record{wanted.taskId, wanted.attemptId, std::string{nameOf(reason)}, unixMilliseconds(), {}};
    if (const auto time = m_assignment.drainingFor(steady_clock::now())) {
        record.sinceDrainMs = time->count();
    }
    m_journal.refuse(std::move(record));
    return encodeRejection(wanted, reason);
}

auto worker_endpoint::runTimeOf(const start_request &wanted) const -> microseconds
{
    const auto scaled = static_cast<double>(wanted.declaredRunTime.count()) * m_behaviour.runTimeFactor;
    return microseconds{static_cast<std::int64_t>(scaled)} + milliseconds{m_behaviour.slowStartMs};
}

auto worker_endpoint::run(start_request wanted, const answer_handle &answer) -> void
{
    run_record record;
    record.taskId = wanted.taskId;
    record.attemptId = wanted.attemptId;
    record.pool = m_assignment.pool();
    record.kind = wanted.kind.str();
    record.bootId = m_bootId;
    record.startMs = unixMilliseconds();
    record.leaving = m_assignment.isDraining();
    const bool fails = m_behaviour.failAll || record.kind == "fail";
    const auto runTime = runTimeOf(wanted);
    auto payload = std::exchange(wanted.payload, {});
    m_tasks.start(
        std::move(record), std::move(payload), runTime, fails,
        [this, answer, wanted = std::move(wanted)](start_outcome outcome, std::string output, microseconds took) {
            recordUsage();
            answer->respond(encodeOutcome(wanted, outcome, std::move(output), took));
        });
    recordUsage();
}

auto worker_endpoint::order(const http_request &message) -> http_response
{
    const auto wanted = decodeOrder(message);
    if (!wanted) {
        return refusal(400, "not an order");
    }
    const auto before = m_assignment.generation();
    const auto refused = m_assignment.order(*wanted, m_tasks.running(), steady_clock::now());
    if (refused) {
        return refusal(409, *refused);
    }
    if (m_assignment.generation() != before) {
        m_leases.revokeAll();
    }
    if (wanted->order == worker_order::reboot) {
        reboot();
    }
    return orderAnswer();
}

auto worker_endpoint::orderAnswer() const -> http_response
{
    return jsonResponse(200,
                        {{"running_jobs", m_tasks.running()},
                         {"boot_id", m_bootId},
                         {"draining", m_assignment.isDraining()},
                         {"pool", m_assignment.pool()},
                         {"generation", m_assignment.generation()}});
}

// The answer to the order itself is still sent: the server stops only when its connections are done.
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

// The server goes first, so that no task that is lost is answered; it goes from the loop, as the order for a crash may
// have come through it.
auto worker_endpoint::crash() -> void
{
    m_timers.after(milliseconds{0}, [this] {
        m_server.reset();
        m_frozenRequests.clear();
        m_tasks.clear();
        m_leases.revokeAll();
    });
}

auto worker_endpoint::thaw() -> void
{
    m_tasks.setFrozen(false);
    const auto waiting = std::exchange(m_frozenRequests, {});
    for (const auto &request : waiting) {
        request();
    }
}

auto worker_endpoint::setBehaviour(const worker_behaviour &behaviour) -> void
{
    const auto before = std::exchange(m_behaviour, behaviour);
    if (m_behaviour.freeze && !before.freeze) {
        m_tasks.setFrozen(true);
    } else if (!m_behaviour.freeze && before.freeze) {
        thaw();
    }
    if (m_behaviour.crash && !before.crash) {
        crash();
    } else if (!m_behaviour.crash && before.crash) {
        m_timers.after(milliseconds{1}, [this] { restart(); });
    }
}
} // namespace standins
