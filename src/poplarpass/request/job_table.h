#pragma once

#include <poplarpass/request/job.h>
#include <poplarpass/request/membership.h>
#include <poplarpass/request/packed_key.h>
#include <poplarpass/request/peer_message.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace poplarpass::request
{
/// \brief Identifies one caller's request at this entry.
using waiter_id = std::uint64_t;

/// \brief Another entry that waits for a job's answer.
struct remote_waiter
{
    member_ref member; ///< The entry.
    correlation_id correlation = 0; ///< Correlation of its message.
    bool delegated = false; ///< Whether it sent a delegate; else a job_query.

    auto operator==(const remote_waiter &other) const -> bool = default;
};

/// \brief Whoever waits for a job's answer.
using waiter = std::variant<waiter_id, remote_waiter>;

/// \brief How far this entry is with a key.
enum class key_state : std::uint8_t {
    undecided, ///< Nothing was dispatched here and nothing is under way.
    asking, ///< The home was asked for a grant.
    claiming, ///< Every other member was asked for a promise.
    forwarding, ///< This entry is the home and handed the request to another entry, which decides.
    elsewhere, ///< Another entry has the right, or claimed it.
    in_progress, ///< This entry has the right; the job waits, runs, or may run.
    answered, ///< The final answer is known.
};

/// \brief What is under way for one key; exists only while somebody waits or a decision runs.
struct key_work
{
    std::shared_ptr<const job_spec> spec; ///< The job; empty when it is known by key only.
    std::vector<waiter> waiters; ///< Who waits.
    correlation_id correlation = 0; ///< Correlation of the step under way.
    std::uint64_t epoch = 0; ///< Epoch in which the step was begun.
    core::monotonic_time stepDeadline; ///< When the step fails.
    core::monotonic_time decideBy; ///< When the decision as a whole fails.
    core::monotonic_time heardAt; ///< When the target last said that it has the job.
    member_ref target; ///< Member that was asked.
    std::vector<member_ref> required; ///< Members whose promise is needed.
    std::vector<member_ref> promisers; ///< Members that promised.
    std::vector<member_ref> claimants; ///< Others that members have promised to.
    int hops = 0; ///< How often the request was passed on.
    bool retry = false; ///< Whether the step deadline means to decide anew.
    bool delegated = false; ///< Whether the target was handed the request.
};

/// \brief Everything that this entry knows of one key.
struct job_record
{
    std::uint64_t digest = 0; ///< Digest of the job; zero if not known.
    core::wall_time minted; ///< When the key was minted.
    key_state state = key_state::undecided; ///< How far it is.
    bool promised = false; ///< Whether this entry promised never to dispatch or grant it.
    bool attemptOpen = false; ///< Whether an attempt was sent that may have started.
    bool stopping = false; ///< Whether a cancellation waits for the worker.
    std::uint16_t holder = 0; ///< Index of the member with the right; zero if none.
    std::vector<std::uint16_t> claimants; ///< Indices of members that this entry promised to.
    std::unique_ptr<key_work> work; ///< What is under way, if anything.
    shared_answer answer; ///< The final answer.
};

/// \brief Bounds of a job_table.
struct job_table_limits
{
    std::size_t maxKeys; ///< Most keys remembered.
    std::size_t maxAnswerBytes; ///< Most bytes of answers kept.
};

/// \brief What a cancellation at the entry that has the job leads to.
enum class cancel_step {
    done_cancelled, ///< It had not started; it is answered as cancelled now.
    stop_worker, ///< An attempt may run; the worker must be told to stop it.
    done_too_late, ///< It had been answered before.
    not_here, ///< This entry does not have the job.
};

/// \brief The keys that one entry remembers, within fixed bounds.
class job_table
{
public:
    job_table();
    explicit job_table(job_table_limits limits);

    /// \brief Record of \p key, or null.
    auto find(const packed_key &key) -> job_record *;
    /// \brief Adds a record for \p key.
    /// \pre there is none
    /// \returns null when the table is full
    auto insert(const packed_key &key, std::uint64_t digest) -> job_record *;
    /// \brief Forgets answered and unused keys that every entry refuses by now.
    auto expire(core::wall_time wall) -> void;

    /// \brief Notes that an attempt is about to be sent.
    /// \pre this entry has the right and no earlier attempt may have started; asserted as at_most_once
    auto openAttempt(const packed_key &key, job_record &record) -> void;
    /// \brief Notes the sure sign that the open attempt did not start.
    auto closeAttempt(job_record &record) -> void;
    /// \brief Notes the final answer, or the truth that became known after outcome_unknown.
    /// \pre "not run" is said only when no attempt may have started; asserted as not_run_is_true
    /// \returns whether the answer was taken; a second final answer is dropped
    auto finish(const packed_key &key, job_record &record, shared_answer answer) -> bool;
    /// \brief Cancels a job that this entry has.
    auto cancel(const packed_key &key, job_record &record) -> cancel_step;

    /// \brief Small number that stands for \p member in records; never zero.
    auto indexOf(const member_ref &member) -> std::uint16_t;
    /// \brief Member of a number that indexOf() gave.
    [[nodiscard]] auto memberAt(std::uint16_t index) const -> const member_ref &;

    /// \brief Keys remembered.
    [[nodiscard]] auto size() const -> std::size_t;
    /// \brief Bytes of answers kept.
    [[nodiscard]] auto answerBytes() const -> std::size_t;
    /// \brief Estimated bytes for one remembered key without work and answer.
    [[nodiscard]] static auto bytesPerKey() -> std::size_t;
    /// \brief Calls \p visit for every record.
    auto forEach(const std::function<void(const packed_key &, job_record &)> &visit) -> void;

private:
    auto keepAnswer(const packed_key &key, const shared_answer &answer) -> void;
    auto dropOldestAnswers() -> void;
    static auto mayForget(const job_record &record) -> bool;

    job_table_limits m_limits;
    std::unordered_map<packed_key, job_record> m_records;
    std::multimap<core::wall_time, packed_key> m_expiry;
    std::deque<packed_key> m_answered;
    std::size_t m_answerBytes = 0;
    std::vector<member_ref> m_members;
};
} // namespace poplarpass::request
