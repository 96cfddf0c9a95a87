#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>
#include <poplarpass/core/time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace poplarpass::request
{
/// \brief How soon a job should start.
enum class urgency {
    urgent, ///< A user waits for the result; started within urgentStartBound.
    normal, ///< Interactive work.
    batch, ///< Long work that may be checkpointed or throttled.
};

/// \brief Number of urgency levels.
inline constexpr std::size_t urgencyCount = 3;

/// \brief One job as submitted by the caller.
struct job_spec
{
    core::job_key key; ///< Idempotency key; set for non-idempotent work.
    core::team_id team; ///< Team that is charged for it.
    core::pool_id pool; ///< Pool that it runs in.
    core::work_kind kind; ///< Kind of work.
    urgency level = urgency::normal; ///< How soon it should start.
    bool idempotent = false; ///< Whether running it twice is harmless.
    int cores = 1; ///< Declared number of cores.
    int memoryMb = 0; ///< Declared memory, in MB.
    core::duration declaredRunTime{}; ///< Declared run time.
    core::wall_time deadline; ///< Time after which the answer is useless; the Unix epoch if there is none.
    std::string payload; ///< The caller's input.
    std::string traceparent; ///< W3C trace context.

    auto operator==(const job_spec &other) const -> bool = default;
};

/// \brief Returns a digest of the fields of \p spec that must not differ between requests with the same key.
auto digestOf(const job_spec &spec) -> std::uint64_t;

/// \brief Output of a job, or the error that prevented it.
using job_answer = core::result<std::string>;

/// \brief An answer shared by several waiters and the table.
using shared_answer = std::shared_ptr<const job_answer>;

/// \brief Returns whether two answers have the same output or the same kind of error.
auto sameAnswer(const job_answer &left, const job_answer &right) -> bool;

/// \brief Returns whether the job ran, according to \p answer.
auto runStateOf(const job_answer &answer) -> core::run_state;

/// \brief Converts \p problem for an answer from an entry that does not hold the key.
///
/// A kind that means "not run" becomes outcome_unknown, since another entry may have run the job.
auto withoutAuthority(core::error problem) -> core::error;
} // namespace poplarpass::request
