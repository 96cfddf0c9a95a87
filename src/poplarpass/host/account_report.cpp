#include <poplarpass/host/account_report.h>
#include <poplarpass/host/client_request.h>

#include <nlohmann/json.hpp>

namespace poplarpass::host
{
namespace
{
using nlohmann::json;

auto encodeResources(const jobs::resources &amount) -> json
{
    return {{"cpu", amount.cpu}, {"mem_mb", amount.memoryMb}, {"gpu", amount.gpu}};
}

auto decodeResources(const json &amount) -> jobs::resources
{
    return {amount.at("cpu").get<std::int64_t>(), amount.at("mem_mb").get<std::int64_t>(),
            amount.at("gpu").get<std::int64_t>()};
}

auto encodeEntry(const account_report_entry &entry) -> json
{
    return {{"name", entry.name.str()},
            {"weight", entry.weight},
            {"share_cores", entry.shareCores},
            {"use", encodeResources(entry.use)},
            {"cap", encodeResources(entry.cap)},
            {"waiting_tasks", entry.waitingTasks},
            {"waiting_core_seconds", entry.waitingCoreSeconds},
            {"refused", entry.refused},
            {"at_cap_since_ms", entry.atCapSinceMs ? json(*entry.atCapSinceMs) : json(nullptr)}};
}

auto decodeEntry(const json &object) -> account_report_entry
{
    account_report_entry entry;
    entry.name = jobs::account_id{object.at("name").get<std::string>()};
    entry.weight = object.at("weight").get<double>();
    entry.shareCores = object.at("share_cores").get<double>();
    entry.use = decodeResources(object.at("use"));
    entry.cap = decodeResources(object.at("cap"));
    entry.waitingTasks = object.at("waiting_tasks").get<std::uint64_t>();
    entry.waitingCoreSeconds = object.at("waiting_core_seconds").get<double>();
    entry.refused = object.at("refused").get<std::map<std::string, std::uint64_t>>();
    if (const auto &since = object.at("at_cap_since_ms"); !since.is_null()) {
        entry.atCapSinceMs = since.get<std::int64_t>();
    }
    return entry;
}

// Names come from the operator's record and may hold any bytes; invalid UTF-8 is replaced rather than thrown on.
auto textOf(const json &document) -> std::string
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}
} // namespace

auto encodeAccountReport(const account_report &report) -> std::string
{
    auto accounts = json::array();
    for (const auto &entry : report) {
        accounts.push_back(encodeEntry(entry));
    }
    return textOf({{"accounts", std::move(accounts)}});
}

auto decodeAccountReport(std::string_view text) -> core::result<account_report>
{
    try {
        const auto document = json::parse(text);
        account_report report;
        for (const auto &object : document.at("accounts")) {
            report.push_back(decodeEntry(object));
        }
        return report;
    } catch (const json::exception &problem) {
        return core::failure(core::error_kind::malformed_message, problem.what());
    }
}

auto decodeReportOwner(std::string_view text) -> std::string
{
    const auto document = json::parse(text, nullptr, false);
    const auto owner = document.is_object() ? document.find("owner") : document.end();
    return owner != document.end() && owner->is_string() ? owner->get<std::string>() : std::string{};
}

auto answerAccountRequest(const net::http_request &request, const account_report_source &source) -> net::http_response
{
    if (request.method != "GET") {
        return plainResponse(405, "bad_method");
    }
    const auto report = source();
    if (report) {
        return net::makeResponse(200, encodeAccountReport(*report));
    }
    if (!report.error().areAccountsEnabled) {
        return plainResponse(404, "no_accounts");
    }
    return net::makeResponse(notOwnerStatus, textOf({{"reason", "not_owner"}, {"owner", report.error().owner}}));
}
} // namespace poplarpass::host
