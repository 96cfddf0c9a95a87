#include <poplarpass/codec/field_reader.h>
#include <poplarpass/net/http_client.h>
#include <poplarpass/platform/constants.h>
#include <poplarpass/platform/log_client.h>

#include <nlohmann/json.hpp>

namespace poplarpass::platform
{
namespace
{
using nlohmann::json;

// After any failure of an append it is unknown whether the record was appended, so all failures have the same kind.
auto unavailable(const core::error &problem) -> tl::unexpected<core::error>
{
    return core::failure(core::error_kind::log_unavailable, problem.detail);
}

auto unavailable(const net::http_response &response) -> tl::unexpected<core::error>
{
    return core::failure(core::error_kind::log_unavailable, "status " + std::to_string(response.status));
}

auto malformedAnswer() -> tl::unexpected<core::error>
{
    return core::failure(core::error_kind::log_unavailable, "the answer could not be read");
}

auto decodeAppend(const core::result<net::http_response> &answer) -> core::result<log_offset>
{
    if (!answer) {
        return unavailable(answer.error());
    }
    if (answer->status != 200) {
        return unavailable(*answer);
    }
    const auto document = json::parse(answer->body, nullptr, false);
    if (!document.is_object() || !document.contains("offset") || !document["offset"].is_number_unsigned()) {
        return malformedAnswer();
    }
    return document["offset"].get<log_offset>();
}

auto isEntry(const json &item) -> bool
{
    return item.is_object() && item.contains("offset") && item["offset"].is_number_unsigned() && item.contains("id")
        && item["id"].is_string() && item.contains("payload") && item["payload"].is_binary();
}

auto decodeEntry(const json &item) -> log_entry
{
    const auto &bytes = item["payload"].get_binary();
    return {item["offset"].get<log_offset>(), core::record_id{item["id"].get<std::string>()},
            std::string{bytes.begin(), bytes.end()}};
}

auto isPage(const json &document) -> bool
{
    return document.is_object() && document.contains("first") && document["first"].is_number_unsigned()
        && document.contains("next") && document["next"].is_number_unsigned() && document.contains("entries")
        && document["entries"].is_array();
}

auto decodePage(std::string_view body, log_offset from) -> core::result<log_page>
{
    const auto parsed = codec::internal::parseCbor(body);
    if (!parsed || !isPage(*parsed)) {
        return malformedAnswer();
    }
    const auto &document = *parsed;
    log_page page;
    page.firstOffset = document["first"].get<log_offset>();
    page.nextOffset = document["next"].get<log_offset>();
    auto expected = from;
    for (const auto &item : document["entries"]) {
        if (!isEntry(item) || item["offset"].get<log_offset>() != expected) {
            return malformedAnswer();
        }
        page.entries.push_back(decodeEntry(item));
        ++expected;
    }
    return page;
}

auto decodeRead(const core::result<net::http_response> &answer, log_offset from) -> core::result<log_page>
{
    if (!answer) {
        return unavailable(answer.error());
    }
    if (answer->status == 410) {
        return core::failure(core::error_kind::log_trimmed, "offset " + std::to_string(from) + " is gone");
    }
    if (answer->status != 200) {
        return unavailable(*answer);
    }
    return decodePage(answer->body, from);
}

auto appendRequest(const core::record_id &id, std::string payload) -> net::http_request
{
    return {
        "POST",
        "/append",
        {{std::string{headers::recordId}, net::percentEncode(id.str())}, {"Content-Type", "application/octet-stream"}},
        std::move(payload)};
}

auto readRequest(log_offset from, core::duration wait) -> net::http_request
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return {"GET",
            "/read?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(waitMs)
                + "&max=" + std::to_string(logPageRecords),
            {},
            {}};
}
} // namespace

auto makeLogService(net::http_client &client, std::string address) -> log_service
{
    log_service service;
    service.append = [&client, address](const core::record_id &id, std::string payload,
                                        std::function<void(core::result<log_offset>)> done) {
        client.send(address, appendRequest(id, std::move(payload)), logAppendTimeout,
                    [done = std::move(done)](const core::result<net::http_response> &answer, net::sent_state) {
                        done(decodeAppend(answer));
                    });
    };
    service.read = [&client, address = std::move(address)](log_offset from, core::duration wait,
                                                           std::function<void(core::result<log_page>)> done) {
        client.send(address, readRequest(from, wait), wait + logReadMargin,
                    [from, done = std::move(done)](const core::result<net::http_response> &answer, net::sent_state) {
                        done(decodeRead(answer, from));
                    });
    };
    return service;
}
} // namespace poplarpass::platform
