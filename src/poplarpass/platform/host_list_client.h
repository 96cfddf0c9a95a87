#pragma once

#include <poplarpass/platform/host_list.h>

#include <string>

namespace poplarpass::net
{
class http_client;
} // namespace poplarpass::net

namespace poplarpass::platform
{
/// \brief Host list behind HTTP at \p address.
/// \param client outlives the returned hook
/// \param address "IP:port"
auto makeHostList(net::http_client &client, std::string address) -> host_list;
} // namespace poplarpass::platform
