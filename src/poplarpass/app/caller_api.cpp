#include <poplarpass/app/caller_api.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace poplarpass::app
{
namespace
{
using nlohmann::json;

constexpr std::int64_t maxRelativeTimeMs = std::int64_t{30} * 24 * 3600 * 1000;
constexpr std::int64_t maxSize = 1 << 20;
constexpr std::size_t maxNameLength = 200;
constexpr std::array<std::string_view, request::urgencyCount> urgencyNames{"urgent", "normal", "batch"};
constexpr std::array<std::string_view, 13> knownFields{
    "key",        "pool",        "service",     "team",      "kind",    "urgency", "cores",
    "idempotent", "deadline_ms", "run_time_ms", "memory_mb", "payload", "wait"};

/// \brief Reads typed fields of a JSON object and records the first error.
class submission_reader
{
public:
    explicit submission_reader(const json &object)
        : m_object{object}
    {
    }

    auto text(const char *name, std::size_t maxLength) -> std::string
    {
        const auto *field = find(name);
        if (field == nullptr) {
            return {};
        }
        if (!field->is_string()) {
            setProblem(name, "a string");
            return {};
        }
        auto value = field->get<std::string>();
        if (value.size() > maxLength) {
            setProblem(name, "at most " + std::to_string(maxLength) + " characters");
        }
        return value;
    }

    auto number(const char *name, std::int64_t minValue, std::int64_t maxValue, std::int64_t defaultValue)
        -> std::int64_t
    {
        const auto *field = find(name);
        if (field == nullptr) {
            return defaultValue;
        }
        const bool isInteger = field->is_number_integer()
            && (!field->is_number_unsigned() || field->get<std::uint64_t>() <= static_cast<std::uint64_t>(maxValue));
        const auto value = isInteger ? field->get<std::int64_t>() : minValue - 1;
        if (value < minValue || value > maxValue) {
            setProblem(name, "an integer from " + std::to_string(minValue) + " to " + std::to_string(maxValue));
            return defaultValue;
        }
        return value;
    }

    auto boolean(const char *name, bool defaultValue) -> bool
    {
        const auto *field = find(name);
        if (field == nullptr) {
            return defaultValue;
        }
        if (!field->is_boolean()) {
            setProblem(name, "true or false");
            return defaultValue;
        }
        return field->get<bool>();
    }

    auto level() -> request::urgency
    {
        const auto name = text("urgency", maxNameLength);
        if (name.empty()) {
            return request::urgency::normal;
        }
        const auto *const found = std::ranges::find(urgencyNames, name);
        if (found == urgencyNames.end()) {
            setProblem("urgency", "urgent, normal or batch");
            return request::urgency::normal;
        }
        return static_cast<request::urgency>(found - urgencyNames.begin());
    }

    auto checkFieldNames() -> void
    {
        for (const auto &[name, value] : m_object.items()) {
            if (std::ranges::find(knownFields, name) == knownFields.end()) {
                setProblem(name, "no such field");
            }
        }
    }

    [[nodiscard]] auto problem() const -> const std::string &
    {
        return m_problem;
    }

private:
    auto find(const char *name) const -> const json *
    {
        const auto found = m_object.find(name);
        return found == m_object.end() ? nullptr : &*found;
    }

    auto setProblem(std::string_view name, std::string_view expected) -> void
    {
        if (m_problem.empty()) {
            m_problem = std::string{name} + ": expected " + std::string{expected};
        }
    }

    const json &m_object;
    std::string m_problem;
};

auto resolvePool(const std::string &pool, const std::string &service, const config::fleet_config &config)
    -> core::result<core::pool_id>
{
    if (pool.empty() == service.empty()) {
        return core::failure(core::error_kind::invalid_request, "exactly one of pool and service is needed");
    }
    if (!pool.empty()) {
        const core::pool_id name{pool};
        if (std::ranges::find(config.pools, name, &config::pool::name) == config.pools.end()) {
            return core::failure(core::error_kind::unknown_pool, pool);
        }
        return name;
    }
    const auto found = std::ranges::find(config.services, core::service_id{service}, &config::service::name);
    if (found == config.services.end()) {
        return core::failure(core::error_kind::unknown_pool, service);
    }
    return found->pool;
}

auto isKnownTeam(const core::team_id &team, const config::fleet_config &config) -> bool
{
    return config.teams.empty() || std::ranges::find(config.teams, team, &config::team::name) != config.teams.end();
}

// An earlier request with the same key may have run the job at an entry with a newer or older configuration. A
// rejection based on the configuration therefore reports "not run" only for a request without a key.
auto rejectionOf(const request::job_spec &spec, core::error problem) -> tl::unexpected<core::error>
{
    return tl::make_unexpected(spec.key.empty() ? std::move(problem) : request::withoutAuthority(std::move(problem)));
}

auto retryAfterSeconds(core::duration delay) -> std::int64_t
{
    return std::chrono::ceil<std::chrono::seconds>(delay).count();
}

auto jsonResponse(int status, const json &body) -> net::http_response
{
    // Job outputs are arbitrary bytes; invalid UTF-8 is replaced rather than rejected.
    return net::makeResponse(status, body.dump(-1, ' ', false, json::error_handler_t::replace));
}
} // namespace

auto parseSubmission(const net::http_request &message, const submission_context &context)
    -> core::result<job_submission>
{
    const auto document = json::parse(message.body, nullptr, false);
    if (!document.is_object()) {
        return core::failure(core::error_kind::invalid_request, "the body is no JSON object");
    }
    submission_reader in{document};
    in.checkFieldNames();
    job_submission submission;
    auto &spec = submission.spec;
    spec.key = core::job_key{in.text("key", maxNameLength)};
    const auto pool = in.text("pool", maxNameLength);
    const auto service = in.text("service", maxNameLength);
    spec.team = core::team_id{in.text("team", maxNameLength)};
    spec.kind = core::work_kind{in.text("kind", maxNameLength)};
    spec.level = in.level();
    spec.idempotent = in.boolean("idempotent", false);
    spec.cores = static_cast<int>(in.number("cores", 1, maxSize, 1));
    spec.memoryMb = static_cast<int>(in.number("memory_mb", 0, maxSize * 1024 - 1, 0));
    spec.declaredRunTime = std::chrono::milliseconds{in.number("run_time_ms", 0, maxRelativeTimeMs, 0)};
    const auto deadline = in.number("deadline_ms", 0, maxRelativeTimeMs, 0);
    spec.payload = in.text("payload", message.body.size());
    submission.wait = in.boolean("wait", true);
    spec.traceparent = message.header("traceparent");
    if (!in.problem().empty()) {
        return core::failure(core::error_kind::invalid_request, in.problem());
    }
    if (deadline > 0) {
        spec.deadline = context.now + std::chrono::milliseconds{deadline};
    }
    if (!spec.idempotent && spec.key.empty()) {
        return core::failure(core::error_kind::invalid_request, "key: needed for work that is not idempotent");
    }
    auto resolved = resolvePool(pool, service, context.config);
    if (!resolved) {
        return rejectionOf(spec, resolved.error());
    }
    spec.pool = *std::move(resolved);
    if (!isKnownTeam(spec.team, context.config)) {
        return rejectionOf(spec, {core::error_kind::unknown_team, spec.team.str(), std::nullopt});
    }
    return submission;
}

auto answerResponse(const core::job_key &key, const request::job_answer &answer) -> net::http_response
{
    if (!answer) {
        return errorResponse(key, answer.error());
    }
    return jsonResponse(200, {{"key", key.str()}, {"state", "finished"}, {"ran", "ran"}, {"output", *answer}});
}

auto pendingResponse(const core::job_key &key) -> net::http_response
{
    auto response = jsonResponse(202, {{"key", key.str()}, {"state", "pending"}});
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

auto errorResponse(const core::job_key &key, const core::error &problem) -> net::http_response
{
    const auto &row = core::errorSpecOf(problem.kind);
    const auto retryAfter = core::retryAfterOf(problem);
    json body{{"error", row.name}, {"ran", core::nameOf(row.ran)}, {"detail", problem.detail}};
    if (!key.empty()) {
        body["key"] = key.str();
    }
    if (retryAfter > core::duration{0}) {
        body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    }
    auto response = jsonResponse(row.httpStatus, body);
    if (retryAfter > core::duration{0}) {
        response.headers.push_back({"Retry-After", std::to_string(retryAfterSeconds(retryAfter))});
    }
    return response;
}

auto cancelResponse(const core::job_key &key, request::cancel_outcome outcome, const request::shared_answer &answer)
    -> net::http_response
{
    switch (outcome) {
    case request::cancel_outcome::cancelled:
        return jsonResponse(200, {{"key", key.str()}, {"result", "cancelled"}, {"ran", "not_run"}});
    case request::cancel_outcome::stopped:
        return jsonResponse(200, {{"key", key.str()}, {"result", "stopped"}, {"ran", "ran"}});
    case request::cancel_outcome::too_late: {
        auto response = answer ? answerResponse(key, *answer) : pendingResponse(key);
        response.status = core::errorSpecOf(core::error_kind::too_late).httpStatus;
        return response;
    }
    case request::cancel_outcome::unknown_job:
        return errorResponse(key, {core::error_kind::unknown_job, {}, {}});
    case request::cancel_outcome::unresolved:
        return errorResponse(key, {core::error_kind::outcome_unknown, "the cancellation is not resolved", {}});
    }
    return errorResponse(key, {core::error_kind::internal, {}, {}});
}

auto describeErrors() -> std::string
{
    std::ostringstream out;
    out << "| error | status | ran | Retry-After (s) | meaning |\n|---|---|---|---|---|\n";
    for (const auto &row : core::errorTable()) {
        out << "| `" << row.name << "` | " << row.httpStatus << " | " << core::nameOf(row.ran) << " | "
            << row.retryAfter.count() << " | " << row.meaning << " |\n";
    }
    return out.str();
}
} // namespace poplarpass::app
