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
    member_ref member;
    correlation_id correlation = 0; ///< Correlation of its message.
    bool delegated = false; ///< Whether it sent a delegate; else a job_query.

    auto operator==(const remote_waiter &other) const -> bool = default;
};

/// \brief A caller of this entry or another entry that waits for a job's answer.
using waiter = std::variant<waiter_id, remote_waiter>;

/// \brief State of a key at this entry.
enum class key_state : std::uint8_t {
    undecided, ///< Not dispatched here, and no decision is pending.
    awaiting_grant, ///< A grant_request to the coordinator is pending.
    claiming, ///< Promise requests to the other members are pending.
    forwarding, ///< This entry is the coordinator and delegated the request without a grant; the receiver decides.
    elsewhere, ///< Another entry was granted or has claimed the key.
    in_progress, ///< This entry may dispatch the key; the job is queued, runs, or may run.
    answered, ///< The final answer is known.
};

/// \brief Pending decision and waiters of one key; exists only while there are any.
struct pending_request
{
    std::shared_ptr<const job_spec> spec; ///< The job; null when only its key is known.
    std::vector<waiter> waiters; ///< Requests to answer.
    correlation_id correlation = 0; ///< Correlation of the current step.
    std::uint64_t epoch = 0; ///< Epoch in which the step started.
    core::monotonic_time stepDeadline; ///< Time at which the current step times out.
    core::monotonic_time decisionDeadline; ///< Time at which the whole decision times out.
    core::monotonic_time lastReportAt; ///< When the target last confirmed that it has the job.
    member_ref target; ///< Member that the current step waits for.
    std::vector<member_ref> required; ///< Members whose promise is required.
    std::vector<member_ref> promisedBy; ///< Members that promised.
    std::vector<member_ref> claimants; ///< Other claimants to which members made promises.
    int hops = 0; ///< Number of times the request was forwarded.
    bool retry = false; ///< Whether the decision restarts at the step deadline.
    bool delegated = false; ///< Whether the request was delegated to the target.
};

/// \brief Record of one key at this entry.
struct job_record
{
    std::uint64_t digest = 0; ///< Digest of the job; zero if unknown.
    core::wall_time minted; ///< Mint time of the key.
    key_state state = key_state::undecided;
    bool promised = false; ///< Whether this entry promised never to dispatch or grant it.
    bool attemptOpen = false; ///< Whether a sent attempt may have started.
    bool stopping = false; ///< Whether the worker was requested to stop the job.
    std::uint16_t holder = 0; ///< Index of the member that holds the key; zero if none.
    std::vector<std::uint16_t> claimants; ///< Indices of members that claimed the key and may have dispatched it.
    std::unique_ptr<pending_request> inFlight; ///< Pending decision and waiters; null if none.
    shared_answer answer;
};

/// \brief Bounds of a job_table.
struct job_table_limits
{
    std::size_t maxKeys; ///< Maximum number of keys.
    std::size_t maxAnswerBytes; ///< Maximum total size of answers, in bytes.
};

/// \brief Result of a cancellation at this entry.
enum class cancel_result {
    cancelled, ///< The job had not started; it is answered as cancelled.
    stop_worker, ///< An attempt may run; the worker must be requested to stop it.
    already_answered, ///< The job was already answered.
    not_held, ///< This entry does not have the job.
};

/// \brief Bounded table of the key records of one entry.
class job_table
{
public:
    job_table();
    explicit job_table(job_table_limits limits);

    /// \brief Returns the record of \p key, or null.
    auto find(const packed_key &key) -> job_record *;
    /// \brief Adds a record for \p key.
    /// \pre \p key has no record
    /// \returns null when the table is full
    auto insert(const packed_key &key, std::uint64_t digest) -> job_record *;
    /// \brief Evicts answered and unused keys that are old enough to be refused by every entry.
    auto expire(core::wall_time wall) -> void;

    /// \brief Records that an attempt is about to be sent.
    /// \pre this entry holds the key and no earlier attempt may have started; asserted as at_most_once
    auto openAttempt(const packed_key &key, job_record &record) -> void;
    /// \brief Records that the open attempt certainly did not start.
    auto closeAttempt(job_record &record) -> void;
    /// \brief Records the final answer, or the definite outcome that replaces outcome_unknown.
    /// \pre an answer that means "not run" is given only if no attempt may have started; asserted as not_run_is_true
    /// \returns whether the answer was recorded; a second final answer is dropped
    auto finish(const packed_key &key, job_record &record, shared_answer answer) -> bool;
    /// \brief Cancels a job that this entry holds.
    auto cancel(const packed_key &key, job_record &record) -> cancel_result;

    /// \brief Returns the index that represents \p member in records; never zero.
    auto indexOf(const member_ref &member) -> std::uint16_t;
    /// \brief Returns the member for an index returned by indexOf().
    [[nodiscard]] auto memberAt(std::uint16_t index) const -> const member_ref &;

    /// \brief Returns the number of key records.
    [[nodiscard]] auto size() const -> std::size_t;
    /// \brief Returns the total size of the stored answers, in bytes.
    [[nodiscard]] auto answerBytes() const -> std::size_t;
    /// \brief Returns the estimated bytes per key record without pending request and answer.
    [[nodiscard]] static auto bytesPerKey() -> std::size_t;
    /// \brief Calls \p visit for every record.
    auto forEach(const std::function<void(const packed_key &, job_record &)> &visit) -> void;

private:
    auto storeAnswer(const packed_key &key, const shared_answer &answer) -> void;
    auto evictOldestAnswers() -> void;
    static auto mayEvict(const job_record &record) -> bool;

    job_table_limits m_limits;
    std::unordered_map<packed_key, job_record> m_records;
    std::multimap<core::wall_time, packed_key> m_expiry;
    std::deque<packed_key> m_answered;
    std::size_t m_answerBytes = 0;
    std::vector<member_ref> m_members;
};
} // namespace poplarpass::request
