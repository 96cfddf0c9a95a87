#include <poplarpass/accounts/credential.h>
#include <poplarpass/core/parse_integer.h>
#include <poplarpass/host/caller_request.h>
#include <poplarpass/host/constants.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

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
auto makeRefusal(net::http_response response) -> tl::unexpected<caller_refusal>
{
    return tl::unexpected{caller_refusal{std::move(response), std::nullopt, {}}};
}

// A configuration that may have been replaced does not decide what does not exist.
auto defersToOwner(const route::route_table &routes, const config_standing &standing) -> bool
{
    return standing.newestVersion > routes.config().version || (routes.accounts() != nullptr && !standing.isConfirmed);
}

// The owner finds the route by the path. Here only the identifier of the job is needed, which ends the path.
auto matchOrGuess(const route::route_table &routes, const net::http_request &call, bool defers) -> route::route_match
{
    auto match = routes.match(call.header("Host"), call.path());
    if (match.matched == nullptr && defers) {
        match.rest = call.path().substr(call.path().rfind('/') + 1);
    }
    return match;
}

auto parseCredentialOf(const net::http_request &call)
{
    return accounts::parseCredential(net::valuesOf(call.headers, "Authorization"));
}

/// \brief Returns the digest of the call's key, to be forwarded, or the error for which this host refuses the call.
auto authenticateCall(const net::http_request &call, const route::route_table &routes, const route::route_match &match,
                      const config_standing &standing)
    -> tl::expected<std::optional<accounts::key_digest>, authentication_error>
{
    const auto *accounts = routes.accounts();
    const bool defers = defersToOwner(routes, standing);
    // An unconfirmed configuration without accounts may have been replaced by one with accounts.
    if (accounts == nullptr && !defers && standing.isConfirmed) {
        return std::nullopt;
    }
    const auto key = parseCredentialOf(call);
    if (accounts == nullptr) {
        return key.value_or(std::nullopt);
    }
    if (!key) {
        return tl::unexpected{authentication_error::bad_credentials};
    }
    if (!defers) {
        const auto account = authenticate(*accounts, match.matched->allowsAnonymous, *key);
        if (!account) {
            return tl::unexpected{account.error()};
        }
    }
    return *key;
}

auto makeAuthenticationRefusal(authentication_error error, std::string_view job, std::optional<client_verb> verb)
    -> tl::unexpected<caller_refusal>
{
    return tl::unexpected{caller_refusal{refusalResponse(error), error, std::string{isJobId(job) ? job : ""},
                                         verb ? nameOf(*verb) : "none"}};
}
} // namespace

auto parseCallerRequest(const net::http_request &call, const route::route_table &routes,
                        const config_standing &standing) -> tl::expected<caller_request, caller_refusal>
{
    const auto &config = routes.config();
    if (config.version == 0) {
        return makeRefusal(refusalResponse(503, "no_configuration", retryAfterSeconds));
    }
    const bool defers = defersToOwner(routes, standing);
    const auto match = matchOrGuess(routes, call, defers);
    const bool mayNameRoute = defers && (match.rest.empty() || isJobId(match.rest));
    if (match.matched == nullptr && !mayNameRoute) {
        return makeRefusal(plainResponse(404, "no_such_queue"));
    }
    const auto verb = verbOf(call.method, match.rest);
    const auto key = authenticateCall(call, routes, match, standing);
    if (!key) {
        return makeAuthenticationRefusal(key.error(), match.rest, verb);
    }
    if (!verb) {
        return makeRefusal(plainResponse(405, "bad_method"));
    }
    if (*verb != client_verb::pending && !isJobId(match.rest)) {
        return makeRefusal(plainResponse(400, "bad_job_id"));
    }
    if (call.isBodyTooLarge || call.body.size() > config.maxBodyBytes) {
        return makeRefusal(plainResponse(tooLargeStatus, "body_too_large"));
    }
    caller_request parsed;
    parsed.request.verb = *verb;
    parsed.request.job = jobs::job_id{std::string{match.rest}};
    parsed.request.hostName = call.header("Host");
    parsed.request.path = call.path();
    parsed.request.body = call.body;
    parsed.request.key = *key;
    parsed.time = timeLimitFor(call, match.matched == nullptr ? std::chrono::milliseconds{0} : match.matched->timeout);
    return parsed;
}
} // namespace poplarpass::host
