#include <poplarpass/app/operator_verbs.h>
#include <poplarpass/host/account_report.h>
#include <poplarpass/host/client_request.h>
#include <poplarpass/net/http_client.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <optional>
#include <ostream>
#include <sstream>

namespace poplarpass::app
{
namespace
{
constexpr core::duration reportTimeout = std::chrono::seconds{5};
constexpr int httpOk = 200;
constexpr int httpNotFound = 404;

auto requestReport(const std::string &address) -> core::result<net::http_response>
{
    boost::asio::io_context loop;
    net::http_client client{loop, net::client_limits{}};
    net::http_request request;
    request.target = "/accounts";
    std::optional<core::result<net::http_response>> answer;
    client.send(
        address, std::move(request), reportTimeout,
        [&answer](core::result<net::http_response> response, net::sent_state) { answer = std::move(response); });
    while (!answer && loop.run_one() > 0) {
    }
    return answer ? *std::move(answer) : core::failure(core::error_kind::internal, "no event is pending");
}

auto reportNoAnswer(const std::string &address, const core::error &problem, console &streams) -> exit_code
{
    const bool isMalformed = problem.kind == core::error_kind::invalid_request;
    streams.err << "host " << address
                << (isMalformed ? ": --at must be IP:port; see --help\n" : " did not answer: " + problem.detail + '\n');
    return isMalformed ? exit_code::usage : exit_code::failure;
}

auto reportRefusal(const std::string &address, const net::http_response &answer, console &streams) -> exit_code
{
    if (answer.status == host::notOwnerStatus) {
        const auto owner = host::decodeReportOwner(answer.body);
        streams.err << "host " << address << " does not own the pools; the owner is "
                    << (owner.empty() ? "not known to it" : owner) << '\n';
    } else if (answer.status == httpNotFound) {
        streams.err << "the deployment of host " << address << " has no accounts\n";
    } else {
        streams.err << "host " << address << " answered with status " << answer.status << '\n';
    }
    return exit_code::failure;
}

auto fetchReport(const std::string &address, console &streams) -> tl::expected<host::account_report, exit_code>
{
    const auto answer = requestReport(address);
    if (!answer) {
        return tl::make_unexpected(reportNoAnswer(address, answer.error(), streams));
    }
    if (answer->status != httpOk) {
        return tl::make_unexpected(reportRefusal(address, *answer, streams));
    }
    auto report = host::decodeAccountReport(answer->body);
    if (!report) {
        streams.err << "host " << address << " sent no report of accounts: " << report.error().detail << '\n';
        return tl::make_unexpected(exit_code::failure);
    }
    return *std::move(report);
}

auto formatLimit(std::int64_t limit) -> std::string
{
    return limit == 0 ? "none" : std::to_string(limit);
}

auto formatRefused(const std::map<std::string, std::uint64_t> &refused) -> std::string
{
    std::string text;
    for (const auto &[reason, count] : refused) {
        text += (text.empty() ? "" : ",") + reason + ':' + std::to_string(count);
    }
    return text.empty() ? "none" : text;
}

auto formatTime(std::int64_t unixMs) -> std::string
{
    const auto seconds = static_cast<std::time_t>(unixMs / 1000);
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    std::ostringstream out;
    out << std::put_time(&fields, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << unixMs % 1000 << 'Z';
    return out.str();
}

auto printEntry(const host::account_report_entry &entry, console &streams) -> void
{
    streams.out << "account=" << entry.name.str() << " weight=" << entry.weight << " share_cores=" << entry.shareCores
                << " use_cpu=" << entry.use.cpu << " cap_cpu=" << formatLimit(entry.cap.cpu)
                << " use_mem_mb=" << entry.use.memoryMb << " cap_mem_mb=" << formatLimit(entry.cap.memoryMb)
                << " use_gpu=" << entry.use.gpu << " cap_gpu=" << formatLimit(entry.cap.gpu)
                << " waiting_tasks=" << entry.waitingTasks << " waiting_core_seconds=" << entry.waitingCoreSeconds
                << " refused=" << formatRefused(entry.refused)
                << " at_cap_since=" << (entry.atCapSinceMs ? formatTime(*entry.atCapSinceMs) : "none") << '\n';
}

auto print(const host::account_report &report, const parsed_options &options, console &streams) -> void
{
    if (options.format() == output_format::json) {
        streams.out << host::encodeAccountReport(report) << '\n';
        return;
    }
    for (const auto &entry : report) {
        printEntry(entry, streams);
    }
}

auto list(const parsed_options &options, console &streams) -> exit_code
{
    const auto report = fetchReport(options.value("at"), streams);
    if (!report) {
        return report.error();
    }
    print(*report, options, streams);
    return exit_code::success;
}

auto show(const parsed_options &options, console &streams) -> exit_code
{
    const auto report = fetchReport(options.value("at"), streams);
    if (!report) {
        return report.error();
    }
    const jobs::account_id name{options.arguments().front()};
    const auto found = std::ranges::find(*report, name, &host::account_report_entry::name);
    if (found == report->end()) {
        streams.err << "no account '" << name.str() << "'\n";
        return exit_code::failure;
    }
    print({*found}, options, streams);
    return exit_code::success;
}
} // namespace

auto accountVerbs() -> std::vector<verb>
{
    const option_spec at{"at", "IP:port for metrics of the host that owns the pools", true, true, ""};
    return {
        {"account list", "lists the accounts with their shares, use and caps", "", {at, formatOption()}, list},
        {"account show", "shows one account with its share, use and cap", "NAME", {at, formatOption()}, show},
    };
}
} // namespace poplarpass::app
