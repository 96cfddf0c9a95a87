#include <poplarpass/net/http_client.h>
#include <poplarpass/platform/constants.h>
#include <poplarpass/platform/worker_client.h>
#include <poplarpass/platform/worker_names.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace poplarpass::platform
{
namespace
{
using http_answer = core::result<net::http_response>;
using nlohmann::json;

auto field(std::string_view name, std::string value) -> net::http_header
{
    return {std::string{name}, std::move(value)};
}

auto parseNumber(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool fullyParsed = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return fullyParsed ? std::optional{value} : std::nullopt;
}

auto isTraceparent(std::string_view text) -> bool
{
    return !text.empty() && text.find_first_not_of("0123456789abcdef-") == std::string_view::npos;
}

auto jsonRequest(std::string target, const json &body) -> net::http_request
{
    return {"POST", std::move(target), {{"Content-Type", "application/json"}}, body.dump()};
}

auto taskTarget(std::string_view taskId) -> std::string
{
    return "/tasks/" + net::percentEncode(taskId);
}

auto startRequest(start_request start) -> net::http_request
{
    net::http_request request{"POST", "/tasks", {}, std::move(start.payload)};
    request.headers = {
        field(headers::taskId, net::percentEncode(start.taskId)),
        field(headers::attemptId, net::percentEncode(start.attemptId)),
        field(headers::leaseId, std::to_string(start.leaseId)),
        field(headers::pool, net::percentEncode(start.pool.str())),
        field(headers::kind, net::percentEncode(start.kind.str())),
        field(headers::runTimeUs, std::to_string(start.declaredRunTime.count())),
        field(headers::cores, std::to_string(start.cores)),
        field(headers::memoryMb, std::to_string(start.memoryMb)),
    };
    if (isTraceparent(start.traceparent)) {
        request.headers.push_back(field(headers::traceparent, std::move(start.traceparent)));
    }
    return request;
}

/// \brief Decodes the response to one start.
class start_answer_reader
{
public:
    start_answer_reader(std::string taskId, std::string attemptId, std::shared_ptr<worker_client_counters> counters)
        : m_taskId{std::move(taskId)}
        , m_attemptId{std::move(attemptId)}
        , m_counters{std::move(counters)}
    {
    }

    [[nodiscard]] auto read(http_answer answer, net::sent_state sent) const -> start_response
    {
        if (!answer) {
            return sent == net::sent_state::not_sent ? rejected(rejection::unreachable)
                                                     : transportFailed(answer.error());
        }
        if (!matchesAttempt(*answer)) {
            ++m_counters->mismatched;
            return uncertain(*answer);
        }
        if (answer->status == 409) {
            return readRejection(*answer);
        }
        return answer->status == 200 ? readOutcome(std::move(*answer)) : uncertain(*answer);
    }

private:
    [[nodiscard]] auto matchesAttempt(const net::http_response &answer) const -> bool
    {
        // A response without identifiers comes from an intermediary and shows nothing about the worker.
        const auto task = answer.header(headers::taskId);
        const auto attempt = answer.header(headers::attemptId);
        const bool withoutIds = task.empty() && attempt.empty() && answer.status != 200 && answer.status != 409;
        return withoutIds || (net::percentDecode(task) == m_taskId && net::percentDecode(attempt) == m_attemptId);
    }

    [[nodiscard]] auto rejected(rejection reason) const -> start_response
    {
        start_response answer;
        answer.outcome = start_outcome::not_started;
        answer.reason = reason;
        answer.taskId = m_taskId;
        answer.attemptId = m_attemptId;
        return answer;
    }

    [[nodiscard]] auto transportFailed(const core::error &problem) const -> start_response
    {
        m_counters->late += problem.kind == core::error_kind::outcome_unknown ? 1 : 0;
        m_counters->truncated += problem.kind == core::error_kind::malformed_message ? 1 : 0;
        return {};
    }

    static auto uncertain(const net::http_response &answer) -> start_response
    {
        start_response result;
        result.taskId = net::percentDecode(answer.header(headers::taskId));
        result.attemptId = net::percentDecode(answer.header(headers::attemptId));
        return result;
    }

    [[nodiscard]] auto malformedAnswer(const net::http_response &answer) const -> start_response
    {
        ++m_counters->truncated;
        return uncertain(answer);
    }

    [[nodiscard]] auto readRejection(const net::http_response &answer) const -> start_response
    {
        const auto document = json::parse(answer.body, nullptr, false);
        if (!document.is_object() || document.value("started", json{}) != json(false)
            || !document.value("reason", json{}).is_string()) {
            return malformedAnswer(answer);
        }
        const auto reason = fromName<rejection>(document["reason"].get<std::string>());
        return reason ? rejected(*reason) : malformedAnswer(answer);
    }

    [[nodiscard]] auto readOutcome(net::http_response answer) const -> start_response
    {
        const auto outcome = fromName<start_outcome>(answer.header(headers::outcome));
        const auto runTime = parseNumber(answer.header(headers::runTimeUs));
        const bool ended =
            outcome == start_outcome::finished || outcome == start_outcome::failed || outcome == start_outcome::stopped;
        if (!ended || !runTime) {
            return malformedAnswer(answer);
        }
        start_response result{*outcome, rejection::none, m_taskId, m_attemptId, {}, {}};
        result.payload = std::move(answer.body);
        result.runTime = core::duration{*runTime};
        return result;
    }

    std::string m_taskId;
    std::string m_attemptId;
    std::shared_ptr<worker_client_counters> m_counters;
};

// Rejections of leases and orders carry a reason; callers distinguish a stale request from an unavailable worker.
auto refusal(const net::http_response &answer) -> tl::unexpected<core::error>
{
    const auto document = json::parse(answer.body, nullptr, false);
    const auto reason = document.is_object() ? document.value("reason", json{}) : json{};
    const auto detail = reason.is_string() ? reason.get<std::string>() : "status " + std::to_string(answer.status);
    if (answer.status != 409) {
        return core::failure(core::error_kind::peer_unreachable, detail);
    }
    const bool stale = detail == "stale_epoch" || detail == "wrong_pool";
    return core::failure(stale ? core::error_kind::stale_epoch : core::error_kind::worker_unavailable, detail);
}

// Callers of leases, tasks and orders need no distinction among the failures after which the effect is unknown.
auto unreachable(const core::error &problem) -> tl::unexpected<core::error>
{
    const bool malformed = problem.kind == core::error_kind::malformed_message;
    return core::failure(malformed ? problem.kind : core::error_kind::peer_unreachable, problem.detail);
}

auto decodeLeaseResponse(const json &document) -> lease_response
{
    lease_response report;
    report.leaseId = document.at("lease_id").get<std::uint64_t>();
    report.leaseTerm = std::chrono::milliseconds{document.at("lease_term_ms").get<std::int64_t>()};
    report.bootId = document.at("boot_id").get<std::uint64_t>();
    report.pool = core::pool_id{document.at("pool").get<std::string>()};
    report.generation = document.at("generation").get<std::uint64_t>();
    report.leaving = document.at("leaving").get<bool>();
    report.usedSlots = document.at("used_slots").get<int>();
    report.usedConnections = document.at("used_connections").get<int>();
    return report;
}

auto decodeOrder(const json &document) -> order_response
{
    order_response answer;
    answer.runningJobs = document.at("running_jobs").get<int>();
    answer.bootId = document.at("boot_id").get<std::uint64_t>();
    answer.draining = document.at("draining").get<bool>();
    answer.pool = core::pool_id{document.at("pool").get<std::string>()};
    answer.generation = document.at("generation").get<std::uint64_t>();
    return answer;
}

template <class value_type>
auto decodeJson(const http_answer &answer, value_type (*decode)(const json &)) -> core::result<value_type>
{
    if (!answer) {
        return unreachable(answer.error());
    }
    if (answer->status != 200) {
        return refusal(*answer);
    }
    try {
        return decode(json::parse(answer->body));
    } catch (const json::exception &problem) {
        return core::failure(core::error_kind::malformed_message, problem.what());
    }
}

auto decodeTask(const http_answer &answer, std::string_view taskId) -> core::result<task_report>
{
    if (!answer) {
        return unreachable(answer.error());
    }
    if (answer->status != 200) {
        return refusal(*answer);
    }
    const auto state = fromName<worker_task_state>(answer->header(headers::taskState));
    const auto boot = parseNumber(answer->header(headers::bootId));
    if (!state || !boot || net::percentDecode(answer->header(headers::taskId)) != taskId) {
        return core::failure(core::error_kind::malformed_message, "not a report of the task that was asked for");
    }
    return task_report{*state, *boot, answer->body};
}

auto leaseBody(const lease_request &request) -> json
{
    return {{"holder", request.holder.str()}, {"pool", request.pool.str()}, {"generation", request.generation}};
}

auto orderBody(const order_request &request) -> json
{
    return {{"order", nameOf(request.order)},
            {"control_epoch", request.controlEpoch},
            {"pool", request.pool.str()},
            {"generation", request.generation}};
}

auto sendTaskRequest(net::http_client &client, const std::string &address, net::http_request request,
                     std::string taskId, std::function<void(core::result<task_report>)> done) -> void
{
    client.send(address, std::move(request), queryTimeout,
                [taskId = std::move(taskId), done = std::move(done)](const http_answer &answer, net::sent_state) {
                    done(decodeTask(answer, taskId));
                });
}

auto addTasks(worker_service &service, net::http_client &client) -> void
{
    service.query = [&client](const std::string &address, std::string taskId, auto done) {
        net::http_request request{"GET", taskTarget(taskId), {}, {}};
        sendTaskRequest(client, address, std::move(request), std::move(taskId), std::move(done));
    };
    service.command = [&client](const std::string &address, std::string taskId, task_command command, auto done) {
        net::http_request request{"POST", taskTarget(taskId) + "/" + std::string{nameOf(command)}, {}, {}};
        sendTaskRequest(client, address, std::move(request), std::move(taskId), std::move(done));
    };
}
} // namespace

auto makeWorkerService(net::http_client &client, std::shared_ptr<worker_client_counters> counters) -> worker_service
{
    worker_service service;
    service.lease = [&client](const std::string &address, const lease_request &request, auto done) {
        client.send(address, jsonRequest("/lease", leaseBody(request)), leaseTimeout,
                    [done = std::move(done)](const http_answer &answer, net::sent_state) {
                        done(decodeJson(answer, decodeLeaseResponse));
                    });
    };
    service.start = [&client, counters = std::move(counters)](const std::string &address, start_request request,
                                                              core::duration timeout, auto done) {
        start_answer_reader reader{request.taskId, request.attemptId, counters};
        client.send(address, startRequest(std::move(request)), timeout,
                    [reader = std::move(reader), done = std::move(done)](http_answer answer, net::sent_state sent) {
                        done(reader.read(std::move(answer), sent));
                    });
    };
    service.order = [&client](const std::string &address, const order_request &request, auto done) {
        client.send(address, jsonRequest("/order", orderBody(request)), orderTimeout,
                    [done = std::move(done)](const http_answer &answer, net::sent_state) {
                        done(decodeJson(answer, decodeOrder));
                    });
    };
    addTasks(service, client);
    return service;
}
} // namespace poplarpass::platform
