#include <poplarpass/core/rendezvous.h>
#include <poplarpass/request/job.h>

#include <string_view>

namespace poplarpass::request
{
namespace
{
auto combineHash(std::uint64_t seed, std::string_view text) -> std::uint64_t
{
    return core::stableHash(text, seed);
}
} // namespace

// Deadline and trace context differ between a request and its retries, so they are excluded.
auto digestOf(const job_spec &spec) -> std::uint64_t
{
    auto digest = combineHash(0, spec.team.str());
    digest = combineHash(digest, spec.pool.str());
    digest = combineHash(digest, spec.kind.str());
    return combineHash(digest, spec.payload);
}

auto sameAnswer(const job_answer &left, const job_answer &right) -> bool
{
    if (left.has_value() != right.has_value()) {
        return false;
    }
    if (left.has_value()) {
        return *left == *right;
    }
    return left.error().kind == right.error().kind;
}

auto runStateOf(const job_answer &answer) -> core::run_state
{
    return answer ? core::run_state::ran : core::errorSpecOf(answer.error().kind).ran;
}

auto withoutAuthority(core::error problem) -> core::error
{
    if (core::errorSpecOf(problem.kind).ran != core::run_state::not_run) {
        return problem;
    }
    problem.detail = std::string{core::errorSpecOf(problem.kind).name} + ": " + problem.detail;
    problem.kind = core::error_kind::outcome_unknown;
    return problem;
}
} // namespace poplarpass::request
