#pragma once

#include <poplarpass/request/job_table.h>
#include <poplarpass/request/peer_message.h>

#include <memory>
#include <variant>
#include <vector>

namespace poplarpass::request
{
/// \brief Sends a message to another entry; a failure is reported through key_authority::unreachable().
struct send_action
{
    member_ref to; ///< Receiver; delivery to another incarnation has no effect.
    peer_message message;
};

/// \brief Queues and starts the job; only this entry may do so.
struct dispatch_action
{
    packed_key key;
    std::shared_ptr<const job_spec> spec;
};

/// \brief Answers one request of a caller of this entry.
struct answer_action
{
    waiter_id waiter = 0; ///< The request to answer.
    shared_answer answer;
};

/// \brief Answers one cancellation of a caller of this entry.
struct cancel_action
{
    waiter_id waiter = 0; ///< The cancellation to answer.
    cancel_outcome outcome = cancel_outcome::unresolved;
    shared_answer answer; ///< Set when too_late.
};

/// \brief Removes a job that was not started from the admission queue.
struct withdraw_action
{
    packed_key key;
};

/// \brief Requests the worker of the open attempt to stop the job.
struct stop_action
{
    packed_key key;
};

/// \brief An action that the entry process must perform.
using key_action =
    std::variant<send_action, dispatch_action, answer_action, cancel_action, withdraw_action, stop_action>;

/// \brief Actions, in the order in which they must be performed.
using key_actions = std::vector<key_action>;
} // namespace poplarpass::request
