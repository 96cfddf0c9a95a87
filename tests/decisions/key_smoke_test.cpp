#include "test_seed.h"

#include <poplarpass/request.h>

#include <catch2/catch.hpp>

#include <random>

using namespace poplarpass;
using namespace std::chrono_literals;

TEST_CASE("a single entry dispatches a key once and repeats its answer", "[request]")
{
    std::mt19937_64 random{tests::baseSeed()};
    request::instant at{core::monotonic_time{1h}, core::fromUnixMilliseconds(1'800'000'000'000)};
    request::authority decider{{core::member_id{"entry-0"}, 1}};
    request::job_table jobs;
    request::key_authority keys{decider, jobs};
    decider.foldEpoch({1, {{core::member_id{"entry-0"}, 1}}, {}, {}, {}}, at);
    decider.logReadToEnd(at.now);
    request::job_spec spec;
    spec.key = request::makeUuid7(at.wall, random);

    const auto first = keys.submit(spec, 1, at);
    REQUIRE(first.size() == 1);
    const auto key = std::get<request::dispatch_action>(first[0]).key;
    CHECK(keys.submit(spec, 2, at).empty());
    CHECK(keys.beginAttempt(key, at));
    const auto answers = keys.complete(key, std::string{"done"}, at);
    CHECK(answers.size() == 2);
    const auto repeat = keys.submit(spec, 3, at);
    REQUIRE(repeat.size() == 1);
    CHECK(**std::get<request::answer_action>(repeat[0]).answer == "done");
    spec.payload = "other";
    const auto conflict = keys.submit(spec, 4, at);
    CHECK(std::get<request::answer_action>(conflict[0]).answer->error().kind == core::error_kind::key_conflict);
}
