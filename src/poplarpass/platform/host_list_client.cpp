#include <poplarpass/net/http_client.h>
#include <poplarpass/platform/constants.h>
#include <poplarpass/platform/host_list_client.h>

#include <nlohmann/json.hpp>

namespace poplarpass::platform
{
namespace
{
using nlohmann::json;

auto unreachable(std::string detail) -> tl::unexpected<core::error>
{
    return core::failure(core::error_kind::peer_unreachable, std::move(detail));
}

auto decodeHost(const json &item) -> listed_host
{
    listed_host host;
    host.host = core::host_id{item.at("host").get<std::string>()};
    host.address = item.at("address").get<std::string>();
    host.region = core::region_id{item.at("region").get<std::string>()};
    host.zone = core::zone_id{item.at("zone").get<std::string>()};
    host.rack = core::rack_id{item.at("rack").get<std::string>()};
    host.pool = core::pool_id{item.at("pool").get<std::string>()};
    host.slots = item.at("slots").get<int>();
    host.connections = item.at("connections").get<int>();
    host.cores = item.at("cores").get<int>();
    host.memoryMb = item.at("memory_mb").get<int>();
    host.accelerators = item.at("accelerators").get<int>();
    host.leaving = item.at("leaving").get<bool>();
    return host;
}

auto decodeHosts(const std::string &body) -> core::result<std::vector<listed_host>>
{
    try {
        const auto document = json::parse(body);
        std::vector<listed_host> hosts;
        for (const auto &item : document.at("hosts")) {
            hosts.push_back(decodeHost(item));
        }
        return hosts;
    } catch (const json::exception &problem) {
        return core::failure(core::error_kind::malformed_message, problem.what());
    }
}

auto decodeAnswer(const core::result<net::http_response> &answer) -> core::result<std::vector<listed_host>>
{
    if (!answer) {
        return unreachable(answer.error().detail);
    }
    if (answer->status != 200) {
        return unreachable("status " + std::to_string(answer->status));
    }
    return decodeHosts(answer->body);
}
} // namespace

auto makeHostList(net::http_client &client, std::string address) -> host_list
{
    host_list list;
    list.fetch = [&client,
                  address = std::move(address)](std::function<void(core::result<std::vector<listed_host>>)> done) {
        client.send(address, {"GET", "/hosts", {}, {}}, hostListTimeout,
                    [done = std::move(done)](const core::result<net::http_response> &answer, net::sent_state) {
                        done(decodeAnswer(answer));
                    });
    };
    return list;
}
} // namespace poplarpass::platform
