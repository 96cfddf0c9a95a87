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
    urgent, ///< Someone waits for it; started within urgentStartBound.
    normal, ///< Interactive work.
    batch, ///< Long work that may be checkpointed or throttled.
};

/// \brief Number of urgencies.
inline constexpr std::size_t urgencyCount = 3;

/// \brief One job as the caller asked for it.
struct job_spec
{
    core::job_key key; ///< Idempotency key; set for non-idempotent work.
    core::team_id team; ///< Team that pays for it.
    core::pool_id pool; ///< Pool that it runs in.
    core::work_kind kind; ///< Kind of work.
    urgency level = urgency::normal; ///< How soon it should start.
    bool idempotent = false; ///< Whether running it twice is harmless.
    int cores = 1; ///< Declared size.
    int memoryMb = 0; ///< Declared size.
    core::duration declaredRunTime{}; ///< Declared run time.
    core::wall_time deadline; ///< When the answer is of no more use; the epoch if there is none.
    std::string payload; ///< The caller's input.
    std::string traceparent; ///< W3C trace context.

    auto operator==(const job_spec &other) const -> bool = default;
};

/// \brief Digest of everything in \p spec that must be equal when a key is repeated.
auto digestOf(const job_spec &spec) -> std::uint64_t;

/// \brief Output of a job, or why there is none.
using job_answer = core::result<std::string>;

/// \brief An answer that several waiters and the table share.
using shared_answer = std::shared_ptr<const job_answer>;

/// \brief Whether two answers say the same.
auto sameAnswer(const job_answer &left, const job_answer &right) -> bool;

/// \brief What a caller may conclude from \p answer.
auto runStateOf(const job_answer &answer) -> core::run_state;

/// \brief \p problem as it may be told by an entry that does not hold the right to the key.
///
/// A kind that says "not run" becomes outcome_unknown, since another entry may have run the job.
auto withoutAuthority(core::error problem) -> core::error;
} // namespace poplarpass::request
