#pragma once

#include <poplarpass/request/authority.h>
#include <poplarpass/request/job_table.h>
#include <poplarpass/request/key_action.h>
#include <poplarpass/request/peer_message.h>

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace poplarpass::request
{
/// \brief Protocol that lets at most one entry process dispatch each idempotency key.
///
/// Rendezvous hashing assigns every key a coordinator among the members. A member that receives a request for a key
/// - sends grant_request to the coordinator; the coordinator grants the key to one member only;
/// - if the coordinator is unreachable or may not have complete records, sends promise_request (a claim) to the other
///   members and dispatches only when all of them have promised never to dispatch or grant the key;
/// - if it is the coordinator itself, sends delegate to the next member, so that two processes have a record of the
///   key.
///
/// A request for a key that another member holds is answered through job_query messages to that member. A member that
/// leaves transfers its key records by handover messages.
///
/// A state machine without I/O: every event returns the resulting actions.
/// \sa docs/AT-MOST-ONCE.md
class key_authority
{
public:
    /// \param memberAuthority freshness and member list of this process; must outlive this object
    /// \param jobs key records of this entry; must outlive this object
    key_authority(authority &memberAuthority, job_table &jobs);

    /// \brief Handles a caller's request; returns exactly one answer_action for \p requester, from this or a later
    /// call.
    auto submit(const job_spec &spec, waiter_id requester, instant at) -> key_actions;
    /// \brief Requests the answer of a key without submitting the job; answered like submit().
    auto requestAnswer(const core::job_key &key, waiter_id requester, instant at) -> key_actions;
    /// \brief Cancels a key; returns exactly one cancel_action for \p requester, from this or a later call.
    auto cancel(const core::job_key &key, waiter_id requester, instant at) -> key_actions;
    /// \brief Removes a caller that no longer waits for its answer.
    auto removeWaiter(const core::job_key &key, waiter_id requester) -> void;
    /// \brief Handles a message from another entry; heartbeats go to authority instead.
    auto receive(const member_ref &from, const peer_message &message, instant at) -> key_actions;
    /// \brief Handles an undeliverable message to \p member or the loss of the connection to it.
    auto unreachable(const core::member_id &member, instant at) -> key_actions;
    /// \brief Marks \p member as reachable again.
    auto reachable(const core::member_id &member) -> void;
    /// \brief Handles timeouts and a change of the active epoch; call after authority::advance().
    auto advance(instant at) -> key_actions;
    /// \brief Returns the time of the next timeout, at which advance() must be called, if any.
    [[nodiscard]] auto nextTimer() const -> std::optional<core::monotonic_time>;

    /// \brief Authorizes one attempt of a dispatched job; call immediately before sending it.
    /// \returns cancelled when the job is not in progress at this entry, authority_lapsed when this process may not act
    auto beginAttempt(const packed_key &key, instant at) -> core::result<void>;
    /// \brief Records that the attempt certainly did not start, so that another may be sent.
    auto attemptNotStarted(const packed_key &key) -> void;
    /// \brief Records the job's answer, or the definite outcome that replaces outcome_unknown.
    auto complete(const packed_key &key, job_answer answer, instant at) -> key_actions;

    /// \brief Transfers every key record to other members before this entry leaves; it grants nothing afterwards.
    ///
    /// Call when activeCount() is zero and no job is in progress; may be called again to retry.
    auto transferKeys(instant at) -> key_actions;
    /// \brief Returns whether every key was transferred and acknowledged; otherwise the removal must be recorded as a
    /// loss.
    [[nodiscard]] auto transferComplete() const -> bool;

    /// \brief Returns the number of pending requests and cancellations.
    [[nodiscard]] auto activeCount() const -> std::size_t;

private:
    struct timer
    {
        core::monotonic_time due;
        packed_key key;
        auto operator>(const timer &other) const -> bool
        {
            return due > other.due;
        }
    };

    struct key_lookup
    {
        packed_key key;
        bool isCancellation = false;
        std::optional<waiter_id> local;
        std::optional<remote_waiter> remote;
        bool following = false;
        member_ref target;
        core::monotonic_time deadline;
        int hops = 0;
        std::size_t membersTried = 0;
    };

    struct key_context
    {
        const packed_key &key;
        job_record &record;
        instant at;
        key_actions &out;
    };

    // Requests (key_authority.cpp).
    auto admit(const packed_key &key, std::uint64_t digest, instant at) -> core::result<job_record *>;
    auto addWaiter(key_context &ctx, std::shared_ptr<const job_spec> spec, const waiter &requester, int hops) -> void;
    auto decide(key_context &ctx) -> void;
    auto acquireKey(key_context &ctx) -> void;
    auto resolve(key_context &ctx, const shared_answer &answer) -> void;
    auto fail(key_context &ctx, core::error_kind kind, std::string_view detail) -> void;
    auto answerWaiter(key_context &ctx, const waiter &requester, const shared_answer &answer) -> void;
    auto refuseWaiter(key_context &ctx, const waiter &requester, const shared_answer &answer) -> void;

    // Protocol steps and their timeouts (key_authority_steps.cpp).
    auto setTimer(key_context &ctx, core::monotonic_time due) -> void;
    auto handleTimeout(key_context &ctx) -> void;
    auto scheduleRetry(key_context &ctx) -> void;
    auto beginStep(key_context &ctx, key_state state) -> pending_request &;
    auto pendingRequest(key_context &ctx) -> pending_request &;
    auto endPending(key_context &ctx) -> void;
    auto restartUndecided(instant at, key_actions &out) -> void;
    auto handleUnreachable(key_context &ctx, const core::member_id &member) -> void;
    auto activeKeys() const -> std::vector<packed_key>;

    // Coordinator (key_authority_coordinator.cpp).
    auto decideAsCoordinator(key_context &ctx) -> void;
    auto forward(key_context &ctx, const member_ref &target, bool granted) -> void;
    [[nodiscard]] auto nextReachableMember(const packed_key &key) const -> std::optional<member_ref>;
    [[nodiscard]] auto coordinatorOf(const packed_key &key) const -> member_ref;
    [[nodiscard]] auto mayGrantDirectly(const packed_key &key, core::monotonic_time now) const -> bool;
    auto requestGrant(key_context &ctx, const member_ref &coordinator) -> void;
    auto onGrantRequest(const member_ref &from, const grant_request &message, instant at, key_actions &out) -> void;
    auto decideGrant(const member_ref &from, key_context &ctx, grant_reply &reply) -> void;
    auto onGrantReply(const grant_reply &reply, key_context &ctx) -> void;

    // Claims (key_authority_claim.cpp).
    auto claim(key_context &ctx, bool coordinatorUnreachable) -> void;
    auto completeClaim(key_context &ctx) -> void;
    auto onPromiseRequest(const member_ref &from, const promise_request &message, instant at, key_actions &out) -> void;
    auto decidePromise(const member_ref &from, key_context &ctx, promise_reply &reply) -> void;
    auto makePromise(const member_ref &claimant, key_context &ctx, promise_reply &reply) -> void;
    auto recordClaimant(job_record &record, const member_ref &claimant) -> void;
    auto onPromiseReply(const member_ref &from, const promise_reply &reply, key_context &ctx) -> void;
    [[nodiscard]] auto precedes(const packed_key &key, const member_ref &left, const member_ref &right) const -> bool;

    // Jobs held by other entries (key_authority_job.cpp).
    auto follow(key_context &ctx, const member_ref &target) -> void;
    auto query(key_context &ctx) -> void;
    auto redirect(key_context &ctx, const member_ref &target) -> void;
    auto recordHolder(key_context &ctx, const member_ref &holder) -> void;
    auto onJobQuery(const member_ref &from, const job_query &message, instant at, key_actions &out) -> void;
    auto onJobReport(const member_ref &from, const job_report &report, key_context &ctx) -> void;
    auto onDelegate(const member_ref &from, const delegate &message, instant at, key_actions &out) -> void;
    auto acceptGrant(const member_ref &from, const delegate &message, key_context &ctx) -> bool;
    auto onDelegateReply(const member_ref &from, const delegate_reply &reply, key_context &ctx) -> void;
    auto delegateToTarget(key_context &ctx) -> void;
    auto selectSuccessors(const packed_key &key, const member_ref &holder) -> std::vector<member_ref>;
    auto onHandover(const member_ref &from, const handover &message, instant at, key_actions &out) -> void;
    auto applyTransferredKey(const transferred_key &transferred, instant at, key_actions &out) -> bool;
    [[nodiscard]] auto holderOf(const job_record &record) const -> std::optional<member_ref>;

    // Lookups by key (key_authority_lookup.cpp).
    auto handleLookup(key_lookup lookup, instant at, key_actions &out) -> void;
    auto queryNextMember(key_lookup lookup, instant at, key_actions &out) -> void;
    auto queryMember(key_lookup lookup, const member_ref &target, instant at, key_actions &out) -> void;
    auto finishLookup(const key_lookup &lookup, cancel_outcome outcome, const shared_answer &answer, key_actions &out)
        -> void;
    auto finishCancellations(key_context &ctx) -> void;
    auto cancelLocally(key_lookup lookup, key_context &ctx) -> void;
    auto onCancelRequest(const member_ref &from, const cancel_request &message, instant at, key_actions &out) -> void;
    auto onCancelReply(const cancel_reply &reply, instant at, key_actions &out) -> void;
    auto handleLookupReport(const member_ref &from, const job_report &report, instant at, key_actions &out) -> bool;
    auto expireLookups(instant at, key_actions &out) -> void;

    auto dispatchReply(const member_ref &from, const peer_message &message, instant at, key_actions &out) -> void;

    authority &m_authority;
    job_table &m_jobs;
    correlation_id m_lastCorrelation = 0;
    std::uint64_t m_lastEpoch = 0;
    bool m_leaving = false;
    std::size_t m_untransferredKeys = 0;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    std::unordered_set<packed_key> m_active;
    std::set<core::member_id> m_unreachable;
    std::unordered_map<correlation_id, key_lookup> m_lookups;
    std::unordered_multimap<packed_key, key_lookup> m_cancellations;
    std::map<correlation_id, member_ref> m_handovers;
};
} // namespace poplarpass::request
