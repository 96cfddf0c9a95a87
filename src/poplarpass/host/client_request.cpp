#include <poplarpass/host/client_request.h>
#include <poplarpass/host/constants.h>

namespace poplarpass::host
{
auto plainResponse(int status, std::string_view reason) -> net::http_response
{
    return net::makeResponse(status, R"({"reason":")" + std::string{reason} + R"("})");
}

auto refusalResponse(int status, std::string_view reason) -> net::http_response
{
    auto response = plainResponse(status, reason);
    response.headers.push_back({"Retry-After", std::to_string(retryAfterSeconds)});
    return response;
}
} // namespace poplarpass::host
