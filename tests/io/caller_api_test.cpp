#include <poplarpass/app/caller_api.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace poplarpass;

namespace
{
auto rejectionOf(const std::string &body) -> core::error
{
    const config::fleet_config config{{}, {}, {{core::pool_id{"quick"}, {}, 8, false}}, {}, {}, {}};
    net::http_request message{"POST", "/v1/jobs", {}, body};
    const auto parsed = app::parseSubmission(message, {config, core::wall_time{}});
    REQUIRE_FALSE(parsed);
    return parsed.error();
}

auto ranOf(const core::error &problem) -> core::run_state
{
    return core::errorSpecOf(problem.kind).ran;
}
} // namespace

TEST_CASE("a rejection based on the configuration reports not_run only for a request without a key", "[caller_api]")
{
    const auto keyed = rejectionOf(R"({"pool":"gone","key":"01a23dbd-1b9e-7e93-bdf3-89c6175aa2b7"})");
    CHECK(keyed.kind == core::error_kind::outcome_unknown);
    CHECK(ranOf(keyed) == core::run_state::unknown);
    const auto unkeyed = rejectionOf(R"({"pool":"gone","idempotent":true})");
    CHECK(unkeyed.kind == core::error_kind::unknown_pool);
    CHECK(ranOf(unkeyed) == core::run_state::not_run);
}

TEST_CASE("a malformed submission is rejected with invalid_request", "[caller_api]")
{
    for (const auto *body :
         {"", "[]", "{", R"({"pool":"quick"})", R"({"pool":"quick","idempotent":1})",
          R"({"pool":"quick","idempotent":true,"cores":0})", R"({"idempotent":true})",
          R"({"pool":"quick","service":"x","idempotent":true})", R"({"pool":"quick","idempotent":true,"colour":"red"})",
          R"({"pool":"quick","idempotent":true,"deadline_ms":-1})",
          R"({"pool":"quick","idempotent":true,"urgency":"soon"})"}) {
        CAPTURE(body);
        CHECK(rejectionOf(body).kind == core::error_kind::invalid_request);
    }
}

TEST_CASE("the page for callers contains the table of errors printed by the program", "[caller_api]")
{
    std::ifstream page{std::string{POPLARPASS_EXAMPLES_DIR} + "/../docs/CALLERS.md"};
    std::ostringstream text;
    text << page.rdbuf();
    CHECK(text.str().find(app::describeErrors()) != std::string::npos);
}
