#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::net
{
struct http_header
{
    std::string name; ///< Compared case-insensitively.
    std::string value;
};

/// \brief Returns the value of the first header called \p name, or an empty view.
auto headerOf(std::span<const http_header> headers, std::string_view name) -> std::string_view;

/// \brief Returns the values of all headers called \p name, in order.
auto valuesOf(std::span<const http_header> headers, std::string_view name) -> std::vector<std::string_view>;

/// \brief A complete HTTP request.
struct http_request
{
    std::string method = "GET"; ///< In upper case.
    std::string target = "/"; ///< Path and query as sent.
    std::vector<http_header> headers; ///< Header fields in order, without the framing fields.
    std::string body;
    bool isBodyTooLarge = false; ///< Whether the body exceeds the server's limit and was therefore not read.

    /// \brief Returns the value of the first header called \p name, or an empty view.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;

    /// \brief Returns the target without its query.
    [[nodiscard]] auto path() const -> std::string_view;

    /// \brief Returns the decoded value of the query parameter \p name, if present.
    [[nodiscard]] auto query(std::string_view name) const -> std::optional<std::string>;
};

/// \brief A complete HTTP response.
struct http_response
{
    int status = 200;
    std::vector<http_header> headers; ///< Header fields in order, without the framing fields.
    std::string body;

    /// \brief Returns the value of the first header called \p name, or an empty view.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

/// \brief Returns a response with the media type \p contentType.
auto makeResponse(int status, std::string body, std::string_view contentType = "application/json") -> http_response;

/// \brief Decodes percent escapes, and plus signs as spaces; copies invalid escapes unchanged.
auto percentDecode(std::string_view text) -> std::string;

/// \brief Percent-encodes all but the unreserved characters of RFC 3986.
auto percentEncode(std::string_view text) -> std::string;
} // namespace poplarpass::net
