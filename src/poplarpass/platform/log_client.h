#pragma once

#include <poplarpass/platform/log_service.h>

#include <string>

namespace poplarpass::net
{
class http_client;
} // namespace poplarpass::net

namespace poplarpass::platform
{
/// \brief Returns a log_service that uses HTTP.
/// \param client must outlive the returned object
/// \param address "IP:port"
auto makeLogService(net::http_client &client, std::string address) -> log_service;
} // namespace poplarpass::platform
