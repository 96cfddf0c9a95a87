#pragma once

#include <poplarpass/request/job.h>
#include <poplarpass/request/membership.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace poplarpass::request
{
/// \brief Matches a reply to its request; chosen by the sender of the request, unique within its incarnation.
using correlation_id = std::uint64_t;

/// \brief Sent by a member to the coordinator of a key: requests the right to dispatch it.
struct grant_request
{
    correlation_id correlation = 0; ///< Echoed in the reply.
    std::uint64_t epoch = 0; ///< Active epoch of the sender.
    core::job_key key;
    std::uint64_t digest = 0; ///< Digest of the job.
};

/// \brief Decision of the coordinator about a grant_request.
enum class grant_status {
    granted, ///< The requester may dispatch the key; no other member ever may.
    held, ///< Another member was granted or has claimed the key.
    answered, ///< The answer is known and included.
    claim_needed, ///< The coordinator may lack records of the key: promises are needed.
    wrong_epoch, ///< Requester and coordinator have different active epochs.
    not_fresh, ///< The coordinator may not grant at present.
    conflict, ///< The key was used with another job.
};

/// \brief Reply of the coordinator to a grant_request.
struct grant_reply
{
    correlation_id correlation = 0; ///< As in the request.
    std::uint64_t epoch = 0; ///< Active epoch of the coordinator.
    core::job_key key;
    grant_status status = grant_status::not_fresh;
    member_ref holder; ///< Member that holds the key, when held.
    std::optional<job_answer> answer; ///< Set when answered.
};

/// \brief Sent by a claimant to the other members: requests the promise never to dispatch or grant a key.
struct promise_request
{
    correlation_id correlation = 0; ///< Echoed in the reply.
    std::uint64_t epoch = 0; ///< Active epoch of the claimant.
    core::job_key key;
    std::uint64_t digest = 0; ///< Digest of the job.
};

/// \brief Decision of a member about a promise_request.
enum class promise_status {
    promised, ///< It has never dispatched the key and never will.
    known, ///< It dispatched or granted the key, or has a record of the holder.
    deciding, ///< It is deciding about the key itself and takes precedence.
    answered, ///< The answer is known and included.
    wrong_epoch, ///< Claimant and member have different active epochs.
    conflict, ///< The key was used with another job.
};

/// \brief Reply of a member to a promise_request.
struct promise_reply
{
    correlation_id correlation = 0; ///< As in the request.
    std::uint64_t epoch = 0; ///< Active epoch of the member.
    core::job_key key;
    promise_status status = promise_status::wrong_epoch;
    member_ref holder; ///< Member that holds the key, when known.
    std::vector<member_ref> claimants; ///< Other claimants to which the member made the same promise.
    std::optional<job_answer> answer; ///< Set when answered.
};

/// \brief Sent to the entry that has a job: requests its state, at once, and its answer when known.
struct job_query
{
    correlation_id correlation = 0; ///< Echoed in every report.
    core::job_key key;
    std::uint64_t digest = 0; ///< Digest of the job; zero when the sender has only the key.
};

/// \brief State of a job at one entry.
enum class job_phase {
    never_seen, ///< The entry has no record of the key.
    undecided, ///< The entry has neither dispatched it nor promised not to.
    deciding, ///< The entry's decision whether it may dispatch it is pending.
    elsewhere, ///< Another entry has it.
    in_progress, ///< The entry has dispatched it; there is no answer yet.
    answered, ///< The answer is known and included.
    conflict, ///< The key was used with another job.
};

/// \brief Reply to a job_query.
struct job_report
{
    correlation_id correlation = 0; ///< As in the query.
    core::job_key key;
    job_phase phase = job_phase::never_seen;
    member_ref holder; ///< Member that has it, when elsewhere.
    std::optional<job_answer> answer; ///< Set when answered.
};

/// \brief Sent to the entry that has a job: requests its cancellation.
struct cancel_request
{
    correlation_id correlation = 0; ///< Echoed in the reply.
    core::job_key key;
    int hops = 0; ///< Number of times the request was forwarded.
};

/// \brief Definite result of a cancellation.
enum class cancel_outcome {
    cancelled, ///< The job had not started and never will.
    stopped, ///< The job ran and was stopped.
    too_late, ///< The job was already answered; the answer is included.
    unknown_job, ///< The entry does not have the job.
    unresolved, ///< Whether the job ran cannot be determined at present.
};

/// \brief Reply to a cancel_request.
struct cancel_reply
{
    correlation_id correlation = 0; ///< As in the request.
    core::job_key key;
    cancel_outcome outcome = cancel_outcome::unresolved;
    std::optional<job_answer> answer; ///< Set when too_late.
};

/// \brief Sent by the entry that received a request to another one, which decides about it and dispatches it.
struct delegate
{
    correlation_id correlation = 0; ///< Echoed in the replies.
    std::uint64_t epoch = 0; ///< Active epoch of the sender.
    bool granted = false; ///< Whether the sender is the coordinator and grants the key to the receiver.
    int hops = 0; ///< Number of times the request was forwarded.
    job_spec spec;
};

/// \brief Result of a delegated request.
enum class delegate_status {
    accepted, ///< The receiver handles it; the answer follows in a second reply.
    undecided, ///< The receiver could not decide and has not dispatched it.
    held, ///< Another member holds the key.
    answered, ///< The answer is included.
};

/// \brief Reply to a delegate message.
struct delegate_reply
{
    correlation_id correlation = 0; ///< As in the delegate.
    core::job_key key;
    delegate_status status = delegate_status::undecided;
    member_ref holder; ///< Member that holds the key, when held.
    std::optional<job_answer> answer; ///< Set when answered.
};

/// \brief Record of one key in a handover.
struct transferred_key
{
    core::job_key key;
    std::uint64_t digest = 0; ///< Digest of the job.
    member_ref holder; ///< Member to which it was granted; an empty name if none.
    std::vector<member_ref> claimants; ///< Members that claimed it and may have dispatched it.
    std::optional<job_answer> answer; ///< The answer, if it is known.
};

/// \brief Sent by an entry before it leaves: transfers key records to another member.
struct handover
{
    correlation_id correlation = 0; ///< Echoed in the reply.
    std::vector<transferred_key> keys; ///< At most maxHandoverKeys.
};

/// \brief Acknowledges that every key of a handover was recorded.
struct handover_reply
{
    correlation_id correlation = 0; ///< As in the handover.
};

/// \brief Demand for one pool at one entry, reported to the control process.
struct pool_demand
{
    core::pool_id pool;
    std::uint64_t queued = 0; ///< Number of queued jobs.
    std::uint64_t running = 0; ///< Number of running jobs.
    std::uint64_t arrivals = 0; ///< Number of jobs received since the process started.

    auto operator==(const pool_demand &other) const -> bool = default;
};

/// \brief One successful or failed contact of an entry with a worker.
struct worker_contact
{
    core::host_id host; ///< Host of the worker.
    bool reached = false; ///< Whether the worker answered; the fields below are set only then.
    std::uint64_t bootId = 0; ///< Boot ID of the worker.
    bool draining = false; ///< Whether it accepts no new work.
    core::pool_id pool; ///< Pool that it serves.
    std::uint64_t generation = 0; ///< Generation of the pool assignment.
    core::duration age{}; ///< Time from the start of the contact to the sending of the report.

    auto operator==(const worker_contact &other) const -> bool = default;
};

/// \brief Sent by an entry to the holder of the control role: contacts since the previous report.
struct worker_contact_report
{
    std::vector<worker_contact> sightings; ///< At most one per host.
};

/// \brief Sent by a process that starts while the log cannot be read: requests the folded state of a peer.
struct state_request
{
    std::uint64_t knownOffset = 0; ///< Offset of the sender's state; an older state is useless to it.
};

/// \brief Reply to a state_request: the folded state of the peer.
struct state_reply
{
    std::uint64_t offset = 0; ///< Log offset up to which the state is folded.
    std::uint64_t digest = 0; ///< Digest of the state.
    std::string state; ///< The encoded state.
};

/// \brief Sent by every process to every other one at a fixed interval.
struct heartbeat
{
    member_ref from; ///< Sender.
    std::uint64_t sequence = 0; ///< Sequence number of this heartbeat among those sent to the receiver.
    std::uint64_t echo = 0; ///< Greatest sequence received from the receiver; zero if none.
    std::uint64_t echoIncarnation = 0; ///< Incarnation of the receiver that sent the echoed heartbeat.
    std::uint64_t epoch = 0; ///< Newest membership epoch that the sender folded.
    std::uint64_t actingEpoch = 0; ///< Active membership epoch of the sender.
    std::uint64_t foldedOffset = 0; ///< Log offset up to which the sender has folded.
    std::uint64_t stateDigest = 0; ///< Digest of the sender's state at that offset.
    bool logFresh = false; ///< Whether the sender read the log to its end within freshnessTerm.
    bool leaving = false; ///< Whether the sender is stopping or about to stop.
    std::uint64_t controlEpoch = 0; ///< Current epoch of the control role, according to the sender.
    std::vector<core::member_id> hears; ///< Processes whose heartbeats reach the sender.
    std::vector<pool_demand> demand; ///< Demand figures for the control process; empty unless the sender is an entry.
};

/// \brief Any message between two processes of the system.
using peer_message = std::variant<grant_request, grant_reply, promise_request, promise_reply, job_query, job_report,
                                  cancel_request, cancel_reply, delegate, delegate_reply, handover, handover_reply,
                                  heartbeat, worker_contact_report, state_request, state_reply>;
} // namespace poplarpass::request
