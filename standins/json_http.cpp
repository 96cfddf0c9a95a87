#include "json_http.h"

#include <charconv>
#include <chrono>

namespace standins
{
using nlohmann::json;
using poplarpass::net::http_request;
using poplarpass::net::http_response;

namespace
{
auto parseNumber(std::string_view text, std::uint64_t fallback) -> std::uint64_t
{
    std::uint64_t value = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end ? value : fallback;
}
} // namespace

auto jsonResponse(int status, const json &document) -> http_response
{
    return poplarpass::net::makeResponse(status, document.dump(-1, ' ', false, json::error_handler_t::replace));
}

auto errorResponse(int status, std::string_view reason) -> http_response
{
    return jsonResponse(status, {{"reason", reason}});
}

auto jsonBody(const http_request &request) -> std::optional<json>
{
    auto document = json::parse(request.body, nullptr, false);
    return document.is_object() ? std::optional{std::move(document)} : std::nullopt;
}

auto numberQuery(const http_request &request, std::string_view name, std::uint64_t fallback) -> std::uint64_t
{
    const auto text = request.query(name);
    return text ? parseNumber(*text, fallback) : fallback;
}

auto numberHeader(const http_request &request, std::string_view name, std::uint64_t fallback) -> std::uint64_t
{
    return parseNumber(request.header(name), fallback);
}

auto textHeader(const http_request &request, std::string_view name) -> std::string
{
    return poplarpass::net::percentDecode(request.header(name));
}

auto unixMilliseconds() -> std::int64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}
} // namespace standins
