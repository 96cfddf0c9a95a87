#include "worker_codec.h"

#include "json_http.h"

#include <poplarpass/platform/constants.h>
#include <poplarpass/platform/worker_names.h>

namespace standins
{
using nlohmann::json;
using poplarpass::net::http_request;
using poplarpass::net::http_response;
using poplarpass::platform::lease_request;
using poplarpass::platform::order_request;
using poplarpass::platform::rejection;
using poplarpass::platform::start_outcome;
using poplarpass::platform::start_request;
using poplarpass::platform::task_report;
namespace core = poplarpass::core;
namespace headers = poplarpass::platform::headers;

namespace
{
auto addHeader(http_response &response, std::string_view name, std::string value) -> void
{
    response.headers.push_back({std::string{name}, std::move(value)});
}

auto addIdentifiers(http_response &response, const start_request &request) -> void
{
    addHeader(response, headers::taskId, poplarpass::net::percentEncode(request.taskId));
    addHeader(response, headers::attemptId, poplarpass::net::percentEncode(request.attemptId));
}
} // namespace

auto decodeStart(const http_request &message) -> start_request
{
    start_request request;
    request.taskId = textHeader(message, headers::taskId);
    request.attemptId = textHeader(message, headers::attemptId);
    request.leaseId = numberHeader(message, headers::leaseId, 0);
    request.pool = core::pool_id{textHeader(message, headers::pool)};
    request.kind = core::work_kind{textHeader(message, headers::kind)};
    request.declaredRunTime = core::duration{numberHeader(message, headers::runTimeUs, 0)};
    request.cores = static_cast<int>(numberHeader(message, headers::cores, 1));
    request.memoryMb = static_cast<int>(numberHeader(message, headers::memoryMb, 0));
    request.payload = message.body;
    request.traceparent = message.header(headers::traceparent);
    return request;
}

auto decodeLease(const http_request &message) -> std::optional<lease_request>
{
    try {
        const auto document = json::parse(message.body);
        return lease_request{core::member_id{document.at("holder").get<std::string>()},
                             core::pool_id{document.at("pool").get<std::string>()},
                             document.at("generation").get<std::uint64_t>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

auto decodeOrder(const http_request &message) -> std::optional<order_request>
{
    try {
        const auto document = json::parse(message.body);
        const auto order =
            poplarpass::platform::fromName<poplarpass::platform::worker_order>(document.at("order").get<std::string>());
        if (!order) {
            return std::nullopt;
        }
        order_request request{*order, document.at("control_epoch").get<std::uint64_t>(), {}, 0};
        std::string pool;
        readMember(document, "pool", pool);
        readMember(document, "generation", request.generation);
        request.pool = core::pool_id{pool};
        return request;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

auto decodeBehaviour(const json &document, worker_behaviour behaviour) -> worker_behaviour
{
    try {
        readMember(document, "fail_all", behaviour.failAll);
        readMember(document, "run_time_factor", behaviour.runTimeFactor);
        readMember(document, "slow_start_ms", behaviour.slowStartMs);
        readMember(document, "freeze", behaviour.freeze);
        readMember(document, "crash", behaviour.crash);
    } catch (const json::exception &) {
        return behaviour;
    }
    return behaviour;
}

auto encodeRejection(const start_request &request, rejection reason) -> http_response
{
    auto response = jsonResponse(409,
                                 {{"started", false},
                                  {"reason", nameOf(reason)},
                                  {"task_id", request.taskId},
                                  {"attempt_id", request.attemptId}});
    addIdentifiers(response, request);
    return response;
}

auto encodeOutcome(const start_request &request, start_outcome outcome, std::string output,
                   std::chrono::microseconds runTime) -> http_response
{
    auto response = poplarpass::net::makeResponse(200, std::move(output), "application/octet-stream");
    addIdentifiers(response, request);
    addHeader(response, headers::outcome, std::string{nameOf(outcome)});
    addHeader(response, headers::runTimeUs, std::to_string(runTime.count()));
    return response;
}

auto encodeTaskReport(std::string_view taskId, task_report report) -> http_response
{
    auto response = poplarpass::net::makeResponse(200, std::move(report.payload), "application/octet-stream");
    addHeader(response, headers::taskId, poplarpass::net::percentEncode(taskId));
    addHeader(response, headers::taskState, std::string{nameOf(report.state)});
    addHeader(response, headers::bootId, std::to_string(report.bootId));
    return response;
}
} // namespace standins
