#include <poplarpass/core/parse_integer.h>
#include <poplarpass/host/caller_request.h>
#include <poplarpass/host/constants.h>

#include <algorithm>
#include <cctype>
#include <optional>

namespace poplarpass::host
{
namespace
{
constexpr std::string_view deadlineHeader = "Poplarpass-Deadline-Ms";
constexpr std::size_t jobIdLength = 16;

auto isJobId(std::string_view text) -> bool
{
    return text.size() == jobIdLength
        && std::ranges::all_of(text, [](unsigned char character) { return std::isxdigit(character) != 0; });
}

auto verbOf(std::string_view method, std::string_view rest) -> std::optional<client_verb>
{
    if (rest.empty()) {
        return method == "GET" ? std::optional{client_verb::pending} : std::nullopt;
    }
    if (method == "POST") {
        return client_verb::submit;
    }
    if (method == "GET") {
        return client_verb::state;
    }
    return method == "DELETE" ? std::optional{client_verb::cancel} : std::nullopt;
}

auto timeLimitFor(const net::http_request &call, std::chrono::milliseconds routeTimeout) -> core::duration
{
    const core::duration time = routeTimeout.count() > 0 ? core::duration{routeTimeout} : defaultRequestTimeout;
    const auto requested = core::parseInteger<std::uint64_t>(call.header(deadlineHeader));
    // Compared before the conversion, which overflows for large numbers.
    const auto limit = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    return requested && *requested < limit ? core::duration{std::chrono::milliseconds{*requested}} : time;
}
} // namespace

auto parseCallerRequest(const net::http_request &call, const route::route_table &routes)
    -> tl::expected<caller_request, net::http_response>
{
    const auto &config = routes.config();
    if (config.version == 0) {
        return tl::unexpected{refusalResponse(503, "no_configuration", retryAfterSeconds)};
    }
    const auto hostName = call.header("Host");
    const auto path = call.path();
    const auto match = routes.match(hostName, path);
    if (match.matched == nullptr) {
        return tl::unexpected{plainResponse(404, "no_such_queue")};
    }
    const auto verb = verbOf(call.method, match.rest);
    if (!verb) {
        return tl::unexpected{plainResponse(405, "bad_method")};
    }
    if (*verb != client_verb::pending && !isJobId(match.rest)) {
        return tl::unexpected{plainResponse(400, "bad_job_id")};
    }
    if (call.body.size() > config.maxBodyBytes) {
        return tl::unexpected{plainResponse(413, "body_too_large")};
    }
    caller_request parsed;
    parsed.request.verb = *verb;
    parsed.request.job = jobs::job_id{std::string{match.rest}};
    parsed.request.hostName = hostName;
    parsed.request.path = path;
    parsed.request.body = call.body;
    parsed.time = timeLimitFor(call, match.matched->timeout);
    return parsed;
}
} // namespace poplarpass::host
