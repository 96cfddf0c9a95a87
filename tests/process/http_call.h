#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace tests
{
/// \brief What a test got back; status 0 says that no whole answer came.
struct call_answer
{
    int status = 0;
    std::string body;
    std::string retryAfter;
};

/// \brief One blocking HTTP call to "IP:port" on a connection of its own.
auto httpCall(std::string_view address, std::string_view method, std::string_view target, std::string_view body = {},
              std::chrono::seconds timeout = std::chrono::seconds{30}) -> call_answer;
} // namespace tests
