#pragma once

#include <poplarpass/request/job_table.h>
#include <poplarpass/request/peer_message.h>

#include <memory>
#include <variant>
#include <vector>

namespace poplarpass::request
{
/// \brief Send \p message to \p to; a failure is reported by key_authority::unreachable().
struct send_action
{
    member_ref to; ///< Receiver; a message to another incarnation is worthless but harmless.
    peer_message message; ///< The message.
};

/// \brief Queue and start the job: this entry alone has the right to.
struct dispatch_action
{
    packed_key key; ///< Its key.
    std::shared_ptr<const job_spec> spec; ///< The job.
};

/// \brief Answer one request of a caller of this entry.
struct answer_action
{
    waiter_id waiter = 0; ///< Whom to answer.
    shared_answer answer; ///< The answer.
};

/// \brief Answer one cancellation of a caller of this entry.
struct cancel_action
{
    waiter_id waiter = 0; ///< Whom to answer.
    cancel_outcome outcome = cancel_outcome::unresolved; ///< The result.
    shared_answer answer; ///< Set when too_late.
};

/// \brief Take a job that was not started out of the admission queue.
struct withdraw_action
{
    packed_key key; ///< Its key.
};

/// \brief Tell the worker of the open attempt to stop the job.
struct stop_action
{
    packed_key key; ///< Its key.
};

/// \brief Something that the entry process must do, in the order given.
using key_action =
    std::variant<send_action, dispatch_action, answer_action, cancel_action, withdraw_action, stop_action>;

/// \brief Actions in the order in which they are to be done.
using key_actions = std::vector<key_action>;
} // namespace poplarpass::request
