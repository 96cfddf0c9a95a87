#include "http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace tests
{
namespace
{
namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

auto endpointOf(std::string_view address) -> tcp::endpoint
{
    const auto colon = address.rfind(':');
    const auto port = std::stoi(std::string{address.substr(colon + 1)});
    return {boost::asio::ip::make_address(std::string{address.substr(0, colon)}), static_cast<unsigned short>(port)};
}
} // namespace

auto httpCall(std::string_view address, std::string_view method, std::string_view target, std::string_view body,
              std::chrono::seconds timeout, std::string_view hostName) -> call_answer
{
    boost::asio::io_context loop;
    beast::tcp_stream stream{loop};
    stream.expires_after(timeout);
    http::request<http::string_body> request{
        http::string_to_verb({method.data(), method.size()}), {target.data(), target.size()}, 11};
    request.set(http::field::host, std::string{hostName.empty() ? address : hostName});
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    call_answer answer;
    // Asynchronous calls, because Beast's timeouts do not apply to blocking calls.
    stream.async_connect(endpointOf(address), [&](beast::error_code failed) {
        if (failed) {
            return;
        }
        http::async_write(stream, request, [&](beast::error_code writeFailed, std::size_t) {
            if (writeFailed) {
                return;
            }
            http::async_read(stream, buffer, response, [&](beast::error_code readFailed, std::size_t) {
                if (readFailed) {
                    return;
                }
                answer.status = static_cast<int>(response.result_int());
                answer.body = response.body();
                answer.retryAfter = std::string{response[http::field::retry_after]};
            });
        });
    });
    loop.run();
    return answer;
}
} // namespace tests
