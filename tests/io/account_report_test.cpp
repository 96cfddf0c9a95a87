#include "io_fixture.h"

#include <poplarpass/app/command_line.h>
#include <poplarpass/host/account_metrics.h>
#include <poplarpass/host/account_report.h>

#include <sstream>
#include <thread>

using namespace tests;
namespace app = poplarpass::app;
namespace host = poplarpass::host;
namespace jobs = poplarpass::jobs;

namespace
{
auto makeEntry(std::string name, std::int64_t cpu) -> host::account_report_entry
{
    host::account_report_entry entry;
    entry.name = jobs::account_id{std::move(name)};
    entry.weight = 188;
    entry.shareCores = 12.5;
    entry.use = {cpu, 2000, 1};
    entry.cap = {40000, 0, 0};
    entry.waitingTasks = 7;
    entry.waitingCoreSeconds = 3.5;
    entry.refused = {{"account_over_share", 3}, {"unknown_key", 1}};
    return entry;
}

auto request(std::string method = "GET") -> net::http_request
{
    return {std::move(method), "/accounts", {}, {}};
}

/// \brief An HTTP server on a thread of its own that answers GET /accounts like a host.
class report_server
{
public:
    explicit report_server(host::account_report_source source)
        : m_source{std::move(source)}
    {
    }
    ~report_server()
    {
        m_loop.stop();
        m_thread.join();
    }
    report_server(const report_server &) = delete;
    auto operator=(const report_server &) -> report_server & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return m_server.address();
    }

private:
    host::account_report_source m_source;
    boost::asio::io_context m_loop;
    net::http_server m_server{m_loop, "127.0.0.1:0", net::server_limits{},
                              [this](const net::http_request &call, const std::shared_ptr<net::responder> &caller) {
                                  caller->respond(host::answerAccountRequest(call, m_source));
                              }};
    std::thread m_thread{[this] {
        m_loop.run();
    }};
};

struct outcome
{
    app::exit_code code;
    std::string out;
    std::string err;
};

auto run(const std::vector<std::string> &arguments) -> outcome
{
    std::ostringstream out;
    std::ostringstream err;
    app::console streams{out, err};
    const auto code = app::runCommandLine(arguments, app::allVerbs(), streams);
    return {code, out.str(), err.str()};
}

auto refusing(const host::account_report_refusal &refusal) -> host::account_report_source
{
    return [refusal] {
        return tl::make_unexpected(refusal);
    };
}

auto contains(const std::string &text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}
} // namespace

TEST_CASE("A report of accounts is decoded as it was encoded", "[accounts]")
{
    auto atCap = makeEntry("b", 40000);
    atCap.atCapSinceMs = 1796381615042;
    const host::account_report report{makeEntry("a \"quoted\"", 5), atCap};
    const auto decoded = host::decodeAccountReport(host::encodeAccountReport(report));
    REQUIRE(decoded);
    CHECK(*decoded == report);
}

// Guards against an exception of the JSON library that ends the command without a reason.
TEST_CASE("A malformed report of accounts is an error", "[accounts]")
{
    auto wrongType = host::encodeAccountReport({makeEntry("a", 5)});
    wrongType.replace(wrongType.find("\"waiting_tasks\":7"), 17, "\"waiting_tasks\":[]");
    for (const std::string text : {"", "{", "[]", "{}", "ready", R"({"accounts":[{}]})", R"({"accounts":[1]})"}) {
        CAPTURE(text);
        CHECK_FALSE(host::decodeAccountReport(text));
    }
    CHECK_FALSE(host::decodeAccountReport(wrongType));
    CHECK(host::decodeReportOwner("ready").empty());
    CHECK(host::decodeReportOwner(R"({"owner":1})").empty());
}

TEST_CASE("GET /accounts answers by what the host knows", "[accounts]")
{
    const host::account_report report{makeEntry("a", 5)};
    const auto owning = [&report] {
        return host::account_report{report};
    };
    const auto answer = host::answerAccountRequest(request(), owning);
    CHECK(answer.status == 200);
    CHECK(host::decodeAccountReport(answer.body) == report);
    const auto notOwner = host::answerAccountRequest(request(), refusing({true, "edge-2"}));
    CHECK(notOwner.status == 421);
    CHECK(host::decodeReportOwner(notOwner.body) == "edge-2");
    CHECK(host::answerAccountRequest(request(), refusing({})).status == 404);
    CHECK(host::answerAccountRequest(request("POST"), owning).status == 405);
}

// Guards against metrics whose number of series grows with the number of accounts.
TEST_CASE("The ten accounts with the largest use have metrics of their own", "[accounts]")
{
    host::account_report report;
    for (std::int64_t index = 1; index <= 13; ++index) {
        report.push_back(makeEntry("account-" + std::to_string(index), index * 1000));
    }
    const auto text = host::renderAccountMetrics(report);
    CHECK(contains(text, "poplarpass_account_used_cores{account=\"account-13\"} 13\n"));
    CHECK(contains(text, "poplarpass_account_used_cores{account=\"account-4\"} 4\n"));
    CHECK_FALSE(contains(text, "account-3"));
    CHECK(contains(text, "poplarpass_account_used_cores{account=\"other\"} 6\n"));
    CHECK(contains(text, "poplarpass_account_waiting_tasks{account=\"other\"} 21\n"));
    CHECK(contains(text, "poplarpass_account_refused_total{reason=\"account_over_share\"} 39\n"));
    CHECK_FALSE(contains(host::renderAccountMetrics({makeEntry("a", 1)}), "other"));
}

TEST_CASE("Accounts are listed and shown", "[accounts][app]")
{
    auto atCap = makeEntry("b", 40000);
    atCap.atCapSinceMs = 1796381615042;
    const report_server server{[&] {
        return host::account_report{makeEntry("a", 5), atCap};
    }};
    const auto listed = run({"account", "list", "--at", server.address()});
    CHECK(listed.code == app::exit_code::success);
    CHECK(listed.err.empty());
    CHECK(listed.out.starts_with(
        "account=a weight=188 share_cores=12.5 use_cpu=5 cap_cpu=40000 use_mem_mb=2000 cap_mem_mb=none use_gpu=1 "
        "cap_gpu=none waiting_tasks=7 waiting_core_seconds=3.5 refused=account_over_share:3,unknown_key:1 "
        "at_cap_since=none\n"));
    CHECK(contains(listed.out, "account=b "));
    const auto shown = run({"account", "show", "b", "--at", server.address()});
    CHECK(shown.code == app::exit_code::success);
    CHECK_FALSE(contains(shown.out, "account=a "));
    CHECK(contains(shown.out, "at_cap_since=2026-12-04T10:53:35.042Z\n"));
    const auto json = run({"account", "show", "b", "--at", server.address(), "--format", "json"});
    CHECK(json.code == app::exit_code::success);
    CHECK(host::decodeAccountReport(json.out) == host::account_report{atCap});
    const auto unknown = run({"account", "show", "c", "--at", server.address()});
    CHECK(unknown.code == app::exit_code::failure);
    CHECK(unknown.out.empty());
    CHECK(unknown.err == "no account 'c'\n");
}

TEST_CASE("A report that cannot be had is an error with its reason", "[accounts][app]")
{
    const report_server other{refusing({true, "edge-2"})};
    const auto notOwner = run({"account", "list", "--at", other.address()});
    CHECK(notOwner.code == app::exit_code::failure);
    CHECK(notOwner.err == "host " + other.address() + " does not own the pools; the owner is edge-2\n");
    const report_server without{refusing({})};
    const auto disabled = run({"account", "list", "--at", without.address()});
    CHECK(disabled.code == app::exit_code::failure);
    CHECK(contains(disabled.err, "has no accounts"));
    const auto away = run({"account", "list", "--at", "127.0.0.1:1"});
    CHECK(away.code == app::exit_code::failure);
    CHECK(contains(away.err, "did not answer"));
    CHECK(run({"account", "list", "--at", "nowhere"}).code == app::exit_code::usage);
    CHECK(run({"account", "list"}).code == app::exit_code::usage);
    CHECK(run({"account", "show", "--at", other.address()}).code == app::exit_code::usage);
    CHECK(run({"account", "list", "--at", other.address(), "--format", "xml"}).code == app::exit_code::usage);
}
