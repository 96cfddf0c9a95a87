#pragma once

#include <poplarpass/platform/host_list.h>

#include <string>

namespace poplarpass::net
{
class http_client;
} // namespace poplarpass::net

namespace poplarpass::platform
{
/// \brief Returns a host_list that uses HTTP.
/// \param client must outlive the returned object
/// \param address "IP:port"
auto makeHostList(net::http_client &client, std::string address) -> host_list;
} // namespace poplarpass::platform
