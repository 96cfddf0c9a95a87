#pragma once

#include <poplarpass/net/http_message.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

/// Simulators of the platform services, for tests.
namespace standins
{
/// \brief Creates a response with \p document as its body.
auto jsonResponse(int status, const nlohmann::json &document) -> poplarpass::net::http_response;

/// \brief Creates a response to a refused or failed request, with the reason in its body.
auto errorResponse(int status, std::string_view reason) -> poplarpass::net::http_response;

/// \brief Parses the body as a JSON object.
/// \returns nothing if it is not a JSON object
auto jsonBody(const poplarpass::net::http_request &request) -> std::optional<nlohmann::json>;

/// \brief Returns the query parameter \p name as a number, or \p fallback if it is missing or not a number.
auto numberQuery(const poplarpass::net::http_request &request, std::string_view name, std::uint64_t fallback)
    -> std::uint64_t;

/// \brief Returns the header \p name as a number, or \p fallback if it is missing or not a number.
auto numberHeader(const poplarpass::net::http_request &request, std::string_view name, std::uint64_t fallback)
    -> std::uint64_t;

/// \brief Returns the percent-decoded value of the header \p name.
auto textHeader(const poplarpass::net::http_request &request, std::string_view name) -> std::string;

/// \brief Returns the current time in milliseconds since the Unix epoch.
auto unixMilliseconds() -> std::int64_t;

/// \brief Sets \p target from the member \p name of \p document; keeps it if the member is missing.
/// \throws nlohmann::json::exception if the member has the wrong type
template <class value_type>
auto readMember(const nlohmann::json &document, std::string_view name, value_type &target) -> void
{
    if (const auto found = document.find(name); found != document.end()) {
        target = found->get<value_type>();
    }
}
} // namespace standins
