#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::net
{
/// \brief One header field.
struct http_header
{
    std::string name; ///< Its name, compared without regard to case.
    std::string value; ///< Its value.
};

/// \brief Value of the first header called \p name.
/// \returns an empty view when there is none
auto headerOf(std::span<const http_header> headers, std::string_view name) -> std::string_view;

/// \brief A whole HTTP request.
struct http_request
{
    std::string method = "GET"; ///< Its method, in capitals.
    std::string target = "/"; ///< Path and query as sent.
    std::vector<http_header> headers; ///< Header fields in order, without those of framing.
    std::string body; ///< The body.

    /// \brief Value of the first header called \p name, empty when there is none.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;

    /// \brief The target without its query.
    [[nodiscard]] auto path() const -> std::string_view;

    /// \brief Decoded value of the query parameter \p name, if it is there.
    [[nodiscard]] auto query(std::string_view name) const -> std::optional<std::string>;
};

/// \brief A whole HTTP response.
struct http_response
{
    int status = 200; ///< Status code.
    std::vector<http_header> headers; ///< Header fields in order, without those of framing.
    std::string body; ///< The body.

    /// \brief Value of the first header called \p name, empty when there is none.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

/// \brief Response with the media type \p contentType.
auto makeResponse(int status, std::string body, std::string_view contentType = "application/json") -> http_response;

/// \brief \p text with percent escapes and plus signs decoded; wrong escapes are kept as they are.
auto percentDecode(std::string_view text) -> std::string;

/// \brief \p text with all but unreserved characters escaped.
auto percentEncode(std::string_view text) -> std::string;
} // namespace poplarpass::net
