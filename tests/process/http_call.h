#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace tests
{
/// \brief Response to an HTTP call; status 0 if no complete response arrived.
struct call_answer
{
    int status = 0;
    std::string body;
    std::string retryAfter;
};

/// \brief Sends one blocking HTTP request to "IP:port" on a new connection.
/// \param hostName Host header; empty: \p address
auto httpCall(std::string_view address, std::string_view method, std::string_view target, std::string_view body = {},
              std::chrono::seconds timeout = std::chrono::seconds{30}, std::string_view hostName = {}) -> call_answer;
} // namespace tests
