#include <poplarpass/core/parse_integer.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/host_peers.h>

#include <utility>

namespace poplarpass::host
{
namespace
{
constexpr std::string_view hostNameHeader = "X-Poplarpass-Host";
constexpr std::string_view jobHeader = "X-Poplarpass-Job";
constexpr std::string_view verbHeader = "X-Poplarpass-Verb";
constexpr std::string_view attemptHeader = "X-Poplarpass-Attempt";
constexpr std::string_view repeatedHeader = "X-Poplarpass-Repeated";
constexpr std::string_view keyHeader = "X-Poplarpass-Key";
constexpr std::string_view ownerHeader = "X-Poplarpass-Owner";

auto makeForwardCall(const client_request &request) -> net::http_request
{
    net::http_request call;
    call.method = "POST";
    call.target = request.path;
    call.headers.push_back({std::string{hostNameHeader}, request.hostName});
    call.headers.push_back({std::string{configHeader}, std::to_string(request.configVersion)});
    call.headers.push_back({std::string{jobHeader}, request.job.str()});
    call.headers.push_back({std::string{verbHeader}, std::to_string(static_cast<int>(request.verb))});
    call.headers.push_back({std::string{attemptHeader}, request.attempt});
    call.headers.push_back({std::string{epochHeader}, std::to_string(request.ownerEpoch)});
    if (request.isRepeated) {
        call.headers.push_back({std::string{repeatedHeader}, "1"});
    }
    if (request.key) {
        call.headers.push_back({std::string{keyHeader}, request.key->hex()});
    }
    call.body = request.body;
    return call;
}

auto makeAnnouncementCall(const owner::owner_record &record) -> net::http_request
{
    net::http_request call;
    call.method = "POST";
    call.target = "/owner";
    call.headers.push_back({std::string{ownerHeader}, owner::encodeOwnerRecord(record)});
    return call;
}
} // namespace

auto makePeerCalls(net::http_client &http) -> peer_calls
{
    peer_calls calls;
    calls.forwardRequest = [&http](const std::string &address, const client_request &request,
                                   std::function<void(peer_answer)> done) {
        http.send(address, makeForwardCall(request), forwardTimeout,
                  [done = std::move(done)](core::result<net::http_response> answer, net::sent_state sent) {
                      if (answer) {
                          done({std::move(*answer), true});
                      } else {
                          done({std::nullopt, sent == net::sent_state::maybe_sent});
                      }
                  });
    };
    calls.announce = [&http](const std::string &address, const owner::owner_record &record,
                             std::function<void(bool)> done) {
        http.send(address, makeAnnouncementCall(record), announcementTimeout,
                  [done = std::move(done)](const core::result<net::http_response> &answer, net::sent_state) {
                      done(answer && answer->status == 200);
                  });
    };
    return calls;
}

auto parseForwardedRequest(const net::http_request &call) -> std::optional<client_request>
{
    const auto verb = core::parseInteger<std::uint64_t>(call.header(verbHeader));
    const auto version = core::parseInteger<std::uint64_t>(call.header(configHeader));
    if (!verb || !version || *verb > static_cast<std::uint64_t>(client_verb::pending)) {
        return std::nullopt;
    }
    const auto keyText = call.header(keyHeader);
    const auto key = accounts::key_digest::parse(keyText);
    if (!key && !keyText.empty()) {
        return std::nullopt;
    }
    client_request request;
    request.key = key;
    request.verb = static_cast<client_verb>(*verb);
    request.configVersion = *version;
    request.job = jobs::job_id{std::string{call.header(jobHeader)}};
    request.hostName = call.header(hostNameHeader);
    request.path = call.path();
    request.attempt = call.header(attemptHeader);
    request.isRepeated = !call.header(repeatedHeader).empty();
    request.ownerEpoch = core::parseInteger<std::uint64_t>(call.header(epochHeader)).value_or(0);
    request.body = call.body;
    return request;
}

auto isAnnouncement(const net::http_request &call) -> bool
{
    return !call.header(ownerHeader).empty();
}

auto parseAnnouncement(const net::http_request &call) -> std::optional<owner::owner_record>
{
    return owner::decodeOwnerRecord(call.header(ownerHeader));
}
} // namespace poplarpass::host
