#pragma once

#include <poplarpass/request/job.h>
#include <poplarpass/request/membership.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace poplarpass::request
{
/// \brief Matches a reply to its request; chosen by the asker, unique in its run.
using correlation_id = std::uint64_t;

/// \brief Asks the home of a key for the right to dispatch it.
struct grant_request
{
    correlation_id correlation = 0; ///< Echoed in the reply.
    std::uint64_t epoch = 0; ///< Epoch in which the asker acts.
    core::job_key key; ///< The key.
    std::uint64_t digest = 0; ///< Digest of the job.
};

/// \brief What a home decided about a key.
enum class grant_status {
    granted, ///< The asker may dispatch the key; nobody else ever may.
    held, ///< Another member has the right, or claimed it.
    answered, ///< The answer is known and enclosed.
    claim_needed, ///< The key may be older than the home's knowledge: promises are needed.
    wrong_epoch, ///< Asker and home act in different epochs.
    not_fresh, ///< The home may not grant at present.
    conflict, ///< The key was used with another job.
};

/// \brief Answer to a grant_request.
struct grant_reply
{
    correlation_id correlation = 0; ///< As in the request.
    std::uint64_t epoch = 0; ///< Epoch in which the home acts.
    core::job_key key; ///< The key.
    grant_status status = grant_status::not_fresh; ///< The decision.
    member_ref holder; ///< Who has the key, when held.
    std::optional<job_answer> answer; ///< Set when answered.
};

/// \brief Asks a member to promise that it will never dispatch or grant a key.
struct promise_request
{
    correlation_id correlation = 0; ///< Echoed in the reply.
    std::uint64_t epoch = 0; ///< Epoch in which the asker acts.
    core::job_key key; ///< The key.
    std::uint64_t digest = 0; ///< Digest of the job.
};

/// \brief What a member answers to a claim.
enum class promise_status {
    promised, ///< It never dispatched the key and never will.
    known, ///< It dispatched or granted the key, or knows who did.
    deciding, ///< It is deciding about the key itself and comes first.
    answered, ///< The answer is known and enclosed.
    wrong_epoch, ///< Asker and member act in different epochs.
    conflict, ///< The key was used with another job.
};

/// \brief Answer to a promise_request.
struct promise_reply
{
    correlation_id correlation = 0; ///< As in the request.
    std::uint64_t epoch = 0; ///< Epoch in which the member acts.
    core::job_key key; ///< The key.
    promise_status status = promise_status::wrong_epoch; ///< The decision.
    member_ref holder; ///< Who has the key, when known.
    std::vector<member_ref> claimants; ///< Others to whom the member made the same promise.
    std::optional<job_answer> answer; ///< Set when answered.
};

/// \brief Asks the entry that has a job for its state; the reply comes at once and again with the answer.
struct job_query
{
    correlation_id correlation = 0; ///< Echoed in every report.
    core::job_key key; ///< The key.
    std::uint64_t digest = 0; ///< Digest of the job; zero when the asker knows only the key.
};

/// \brief State of a job at one entry.
enum class job_phase {
    never_seen, ///< The entry knows nothing of the key.
    undecided, ///< The entry has not dispatched it, and has not promised not to.
    deciding, ///< The entry is finding out whether it may dispatch it.
    elsewhere, ///< Another entry has it.
    in_progress, ///< It was dispatched here and has no answer yet.
    answered, ///< The answer is known and enclosed.
    conflict, ///< The key was used with another job.
};

/// \brief Answer to a job_query.
struct job_report
{
    correlation_id correlation = 0; ///< As in the query.
    core::job_key key; ///< The key.
    job_phase phase = job_phase::never_seen; ///< The state.
    member_ref holder; ///< Who has it, when elsewhere.
    std::optional<job_answer> answer; ///< Set when answered.
};

/// \brief Asks the entry that has a job to cancel it.
struct cancel_request
{
    correlation_id correlation = 0; ///< Echoed in the reply.
    core::job_key key; ///< The key.
    int hops = 0; ///< How often the request was passed on.
};

/// \brief The one definite result of a cancellation.
enum class cancel_outcome {
    cancelled, ///< It had not started and never will.
    stopped, ///< It ran and was stopped.
    too_late, ///< It had been answered; the answer is enclosed.
    unknown_job, ///< The entry does not have the job.
    unresolved, ///< Whether it ran cannot be found out at present.
};

/// \brief Answer to a cancel_request.
struct cancel_reply
{
    correlation_id correlation = 0; ///< As in the request.
    core::job_key key; ///< The key.
    cancel_outcome outcome = cancel_outcome::unresolved; ///< The result.
    std::optional<job_answer> answer; ///< Set when too_late.
};

/// \brief Hands a request to another entry, which decides and dispatches it.
struct delegate
{
    correlation_id correlation = 0; ///< Echoed in the replies.
    std::uint64_t epoch = 0; ///< Epoch in which the sender acts.
    bool granted = false; ///< Whether the sender is the home and grants the key to the receiver.
    int hops = 0; ///< How often the request was passed on.
    job_spec spec; ///< The job.
};

/// \brief What became of a delegated request.
enum class delegate_status {
    accepted, ///< The receiver takes it; its answer follows as another reply.
    undecided, ///< The receiver could not decide; it has not dispatched it.
    held, ///< Another member has it.
    answered, ///< The answer is enclosed.
};

/// \brief Answer to a delegate.
struct delegate_reply
{
    correlation_id correlation = 0; ///< As in the delegate.
    core::job_key key; ///< The key.
    delegate_status status = delegate_status::undecided; ///< What became of it.
    member_ref holder; ///< Who has it, when held.
    std::optional<job_answer> answer; ///< Set when answered.
};

/// \brief One key as handed on by an entry that leaves.
struct handed_key
{
    core::job_key key; ///< The key.
    std::uint64_t digest = 0; ///< Digest of the job.
    member_ref holder; ///< Who was granted it; an empty name when nobody.
    std::vector<member_ref> claimants; ///< Members that claimed it and may have dispatched it.
    std::optional<job_answer> answer; ///< The answer, if it is known.
};

/// \brief Keys that an entry hands on before it leaves.
struct handover
{
    correlation_id correlation = 0; ///< Echoed in the reply.
    std::vector<handed_key> keys; ///< At most maxHandoverKeys.
};

/// \brief Says that every key of a handover is remembered.
struct handover_reply
{
    correlation_id correlation = 0; ///< As in the handover.
};

/// \brief Demand for one pool at one entry, for control.
struct pool_demand
{
    core::pool_id pool; ///< The pool.
    std::uint64_t queued = 0; ///< Jobs waiting.
    std::uint64_t running = 0; ///< Jobs running.
    std::uint64_t arrivals = 0; ///< Jobs that arrived since the process started.

    auto operator==(const pool_demand &other) const -> bool = default;
};

/// \brief One contact, or failed contact, of an entry with a worker.
struct worker_sighting
{
    core::host_id host; ///< Which host.
    bool reached = false; ///< Whether the worker answered; the fields below are set only then.
    std::uint64_t bootId = 0; ///< Its boot.
    bool draining = false; ///< Whether it takes no new work.
    core::pool_id pool; ///< Pool that it serves.
    std::uint64_t generation = 0; ///< Generation of that assignment.
    core::duration age{}; ///< Time from the start of the contact to the sending of the report.

    auto operator==(const worker_sighting &other) const -> bool = default;
};

/// \brief Contacts since the report before; an entry sends it to the holder of the control role.
struct sightings_report
{
    std::vector<worker_sighting> sightings; ///< At most one for each host.
};

/// \brief Asks a peer for its folded state, for a start while the log cannot be read.
struct state_request
{
    std::uint64_t knownOffset = 0; ///< Offset that the asker has; an older state is of no use to it.
};

/// \brief A peer's folded state.
struct state_reply
{
    std::uint64_t offset = 0; ///< Offset up to which it is folded.
    std::uint64_t digest = 0; ///< Digest of the state.
    std::string state; ///< Its encoding.
};

/// \brief Sent to every other process at a fixed interval.
struct heartbeat
{
    member_ref from; ///< Sender.
    std::uint64_t sequence = 0; ///< Number of this ping among those sent to the receiver.
    std::uint64_t echo = 0; ///< Greatest sequence that came from the receiver; zero if none.
    std::uint64_t echoIncarnation = 0; ///< Incarnation of the receiver that sent the echoed ping.
    std::uint64_t epoch = 0; ///< Newest membership epoch that the sender folded.
    std::uint64_t actingEpoch = 0; ///< Membership epoch in which the sender acts.
    std::uint64_t foldedOffset = 0; ///< Offset up to which the sender folded the log.
    std::uint64_t stateDigest = 0; ///< Digest of its state at that offset.
    bool logFresh = false; ///< Whether it read the log to its end within freshnessTerm.
    bool leaving = false; ///< Whether it stops or is about to.
    std::uint64_t controlEpoch = 0; ///< Epoch of the control role that it believes in force.
    std::vector<core::member_id> hears; ///< Processes whose heartbeats the sender hears.
    std::vector<pool_demand> demand; ///< Figures for control; empty from other processes.
};

/// \brief Any message between two processes of the system.
using peer_message = std::variant<grant_request, grant_reply, promise_request, promise_reply, job_query, job_report,
                                  cancel_request, cancel_reply, delegate, delegate_reply, handover, handover_reply,
                                  heartbeat, sightings_report, state_request, state_reply>;
} // namespace poplarpass::request
