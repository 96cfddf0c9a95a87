#pragma once

#include <poplarpass/net/http_message.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

/// Programs that take the platform's place in tests.
namespace standins
{
/// \brief Answer with \p document as its body.
auto jsonResponse(int status, const nlohmann::json &document) -> poplarpass::net::http_response;

/// \brief Answer that refuses a request with a reason.
auto errorResponse(int status, std::string_view reason) -> poplarpass::net::http_response;

/// \brief The body as a JSON object, if it is one.
auto jsonBody(const poplarpass::net::http_request &request) -> std::optional<nlohmann::json>;

/// \brief Number in the query parameter \p name, or \p fallback.
auto numberQuery(const poplarpass::net::http_request &request, std::string_view name, std::uint64_t fallback)
    -> std::uint64_t;

/// \brief Number in the header \p name, or \p fallback.
auto numberHeader(const poplarpass::net::http_request &request, std::string_view name, std::uint64_t fallback)
    -> std::uint64_t;

/// \brief Decoded value of the header \p name.
auto textHeader(const poplarpass::net::http_request &request, std::string_view name) -> std::string;

/// \brief Milliseconds since the Unix epoch.
auto unixMilliseconds() -> std::int64_t;

/// \brief Sets \p target from the member \p name of \p document when it is there.
/// \throws nlohmann::json::exception when it is of another type
template <class value_type>
auto readMember(const nlohmann::json &document, std::string_view name, value_type &target) -> void
{
    if (const auto found = document.find(name); found != document.end()) {
        target = found->get<value_type>();
    }
}
} // namespace standins
