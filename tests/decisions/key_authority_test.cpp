#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace tests;

namespace
{
// One entry, by default of three, with a fresh log and with peers that act in the same epoch.
struct entry_fixture
{
    explicit entry_fixture(int count = 3)
        : keys{authority, jobs}
    {
        authority.foldMembership(memberList(1, count), at);
        for (int peer = 1; peer < count; ++peer) {
            request::heartbeat beat;
            beat.from = member(peer);
            beat.epoch = 1;
            beat.actingEpoch = 1;
            authority.heartbeatReceived(beat, at);
        }
        advanceBy(20s);
    }

    auto advanceBy(core::duration time) -> request::key_actions
    {
        at = later(at, time);
        authority.logReadToEnd(at.now);
        authority.advance(at);
        return keys.advance(at);
    }

    // Returns a job whose key is coordinated by the given member.
    auto jobCoordinatedBy(int coordinator) -> request::job_spec
    {
        request::job_spec spec;
        std::vector<core::member_id> names;
        for (const auto &listed : authority.activeMembership().members) {
            names.push_back(listed.member);
        }
        do {
            spec.key = request::makeUuid7(at.wall, random);
        } while (core::rendezvousCoordinator(spec.key.str(), names) != member(coordinator).member);
        return spec;
    }

    std::mt19937_64 random{baseSeed()};
    request::instant at = startInstant();
    request::authority authority{member(0)};
    request::job_table jobs;
    request::key_authority keys;
};

template <class type>
auto messagesIn(const request::key_actions &actions) -> std::vector<std::pair<request::member_ref, type>>
{
    std::vector<std::pair<request::member_ref, type>> found;
    for (const auto &action : actions) {
        const auto *sent = std::get_if<request::send_action>(&action);
        if (sent != nullptr && std::holds_alternative<type>(sent->message)) {
            found.emplace_back(sent->to, std::get<type>(sent->message));
        }
    }
    return found;
}

auto answerIn(const request::key_actions &actions, request::waiter_id requester) -> request::shared_answer
{
    for (const auto &action : actions) {
        const auto *answered = std::get_if<request::answer_action>(&action);
        if (answered != nullptr && answered->waiter == requester) {
            return answered->answer;
        }
    }
    return nullptr;
}

auto outcomeFor(const request::key_actions &actions, request::waiter_id requester) -> std::string
{
    const auto answer = answerIn(actions, requester);
    if (!answer) {
        return "none";
    }
    return answer->has_value() ? "ok" : std::string{core::errorSpecOf(answer->error().kind).name};
}

auto deliverPromises(entry_fixture &entry, const request::key_actions &requests, int skip = -1) -> request::key_actions
{
    request::key_actions out;
    for (const auto &[to, claim] : messagesIn<request::promise_request>(requests)) {
        if (to == member(skip)) {
            continue;
        }
        request::promise_reply reply{
            claim.correlation, claim.epoch, claim.key, request::promise_status::promised, {}, {}, std::nullopt};
        out = entry.keys.receive(to, reply, entry.at);
    }
    return out;
}
} // namespace

TEST_CASE("a single entry dispatches a key once and returns the stored answer to repeated requests", "[key_authority]")
{
    entry_fixture entry{1};
    auto spec = entry.jobCoordinatedBy(0);
    const auto first = entry.keys.submit(spec, 1, entry.at);
    REQUIRE(first.size() == 1);
    const auto key = std::get<request::dispatch_action>(first[0]).key;
    CHECK(entry.keys.submit(spec, 2, entry.at).empty());
    CHECK(entry.keys.beginAttempt(key, entry.at));
    const auto answers = entry.keys.complete(key, std::string{"done"}, entry.at);
    CHECK(outcomeFor(answers, 1) == "ok");
    CHECK(outcomeFor(answers, 2) == "ok");
    CHECK(outcomeFor(entry.keys.submit(spec, 3, entry.at), 3) == "ok");
    spec.payload = "other";
    CHECK(outcomeFor(entry.keys.submit(spec, 4, entry.at), 4) == "key_conflict");
}

TEST_CASE("a grant is requested from the coordinator and used once", "[key_authority]")
{
    entry_fixture entry;
    const auto spec = entry.jobCoordinatedBy(1);
    const auto requests = messagesIn<request::grant_request>(entry.keys.submit(spec, 1, entry.at));
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].first == member(1));
    const auto &grantRequest = requests[0].second;
    request::grant_reply reply{grantRequest.correlation,       1,  grantRequest.key,
                               request::grant_status::granted, {}, std::nullopt};
    CHECK(std::holds_alternative<request::dispatch_action>(entry.keys.receive(member(1), reply, entry.at).at(0)));
    CHECK(entry.keys.receive(member(1), reply, entry.at).empty());
}

TEST_CASE("a coordinator delegates its own request and never dispatches it", "[key_authority]")
{
    entry_fixture entry;
    const auto spec = entry.jobCoordinatedBy(0);
    const auto handed = messagesIn<request::delegate>(entry.keys.submit(spec, 1, entry.at));
    REQUIRE(handed.size() == 1);
    CHECK(handed[0].second.granted);
    const request::grant_request grantRequest{7, 1, spec.key, request::digestOf(spec)};
    const auto other = handed[0].first == member(1) ? member(2) : member(1);
    const auto held = messagesIn<request::grant_reply>(entry.keys.receive(other, grantRequest, entry.at));
    CHECK(held.at(0).second.status == request::grant_status::held);
    CHECK(held.at(0).second.holder == handed[0].first);
    const auto again = messagesIn<request::grant_reply>(entry.keys.receive(handed[0].first, grantRequest, entry.at));
    CHECK(again.at(0).second.status == request::grant_status::granted);
}

TEST_CASE("a coordinator does not grant a key minted before every member acted in its epoch", "[key_authority]")
{
    entry_fixture entry;
    auto spec = entry.jobCoordinatedBy(0);
    entry.at.wall -= 18s;
    spec = entry.jobCoordinatedBy(0);
    entry.at.wall += 18s;
    const request::grant_request grantRequest{7, 1, spec.key, request::digestOf(spec)};
    const auto replies = messagesIn<request::grant_reply>(entry.keys.receive(member(1), grantRequest, entry.at));
    CHECK(replies.at(0).second.status == request::grant_status::claim_needed);
}

TEST_CASE("an unreachable coordinator is omitted from the claim for a new key only", "[key_authority]")
{
    entry_fixture entry;
    entry.keys.unreachable(member(1).member, entry.at);
    const auto fresh = entry.jobCoordinatedBy(1);
    const auto requests = entry.keys.submit(fresh, 1, entry.at);
    CHECK(messagesIn<request::promise_request>(requests).size() == 1);
    CHECK(std::holds_alternative<request::dispatch_action>(deliverPromises(entry, requests).at(0)));
    entry.at.wall -= 18s;
    const auto old = entry.jobCoordinatedBy(1);
    entry.at.wall += 18s;
    CHECK(outcomeFor(entry.keys.submit(old, 2, entry.at), 2) == "outcome_unknown");
}

TEST_CASE("a missing promise leaves the outcome unknown", "[key_authority]")
{
    entry_fixture entry{4};
    entry.keys.unreachable(member(1).member, entry.at);
    const auto spec = entry.jobCoordinatedBy(1);
    const auto requests = entry.keys.submit(spec, 1, entry.at);
    CHECK(deliverPromises(entry, requests, 2).empty());
    CHECK(outcomeFor(entry.advanceBy(request::peerReplyTimeout), 1) == "outcome_unknown");
}

TEST_CASE("an entry that made a promise never dispatches the key, even when a grant arrives", "[key_authority]")
{
    entry_fixture entry;
    const auto spec = entry.jobCoordinatedBy(1);
    const request::promise_request claim{5, 1, spec.key, request::digestOf(spec)};
    const auto promised = messagesIn<request::promise_reply>(entry.keys.receive(member(2), claim, entry.at));
    CHECK(promised.at(0).second.status == request::promise_status::promised);
    const auto next = entry.keys.submit(spec, 1, entry.at);
    REQUIRE(messagesIn<request::job_query>(next).size() == 1);
    CHECK(messagesIn<request::job_query>(next)[0].first == member(2));
    const auto query = messagesIn<request::job_query>(next)[0].second;
    request::grant_reply reply{query.correlation, 1, spec.key, request::grant_status::granted, {}, std::nullopt};
    CHECK(entry.keys.receive(member(1), reply, entry.at).empty());
}

TEST_CASE("an earlier claimant that has not promised leaves the outcome unknown", "[key_authority]")
{
    entry_fixture entry;
    entry.keys.unreachable(member(1).member, entry.at);
    const auto spec = entry.jobCoordinatedBy(1);
    const auto requests = messagesIn<request::promise_request>(entry.keys.submit(spec, 1, entry.at));
    const auto &claim = requests.at(0).second;
    request::promise_reply reply{claim.correlation, 1,           claim.key, request::promise_status::promised, {},
                                 {member(1)},       std::nullopt};
    CHECK(outcomeFor(entry.keys.receive(member(2), reply, entry.at), 1) == "outcome_unknown");
}

TEST_CASE("an entry that is not fresh dispatches, grants and starts nothing", "[key_authority]")
{
    entry_fixture entry;
    const auto spec = entry.jobCoordinatedBy(1);
    const auto requests = messagesIn<request::grant_request>(entry.keys.submit(spec, 1, entry.at));
    entry.at = later(entry.at, 3s);
    request::grant_reply reply{requests.at(0).second.correlation, 1,  spec.key,
                               request::grant_status::granted,    {}, std::nullopt};
    CHECK(outcomeFor(entry.keys.receive(member(1), reply, entry.at), 1) == "authority_lapsed");
    CHECK(outcomeFor(entry.keys.submit(entry.jobCoordinatedBy(2), 2, entry.at), 2) == "authority_lapsed");
    const request::grant_request grantRequest{9, 1, entry.jobCoordinatedBy(0).key, 1};
    const auto refused = messagesIn<request::grant_reply>(entry.keys.receive(member(2), grantRequest, entry.at));
    CHECK(refused.at(0).second.status == request::grant_status::not_fresh);
}

TEST_CASE("expired, future and malformed keys are rejected without the claim that the job did not run",
          "[key_authority]")
{
    entry_fixture entry{1};
    auto spec = entry.jobCoordinatedBy(0);
    const auto mintKey = [&](core::duration age) {
        spec.key = request::makeUuid7(entry.at.wall - age, entry.random);
    };
    mintKey(request::keyLifetime + 1s);
    CHECK(outcomeFor(entry.keys.submit(spec, 1, entry.at), 1) == "key_expired");
    mintKey(-request::callerClockSkew - 1s);
    CHECK(outcomeFor(entry.keys.submit(spec, 2, entry.at), 2) == "outcome_unknown");
    spec.key = core::job_key{"not-a-uuid"};
    CHECK(outcomeFor(entry.keys.submit(spec, 3, entry.at), 3) == "invalid_request");
}

TEST_CASE("each cancellation has exactly one result", "[key_authority]")
{
    entry_fixture entry{1};
    const auto cancelOutcome = [](const request::key_actions &actions) {
        for (const auto &action : actions) {
            if (const auto *result = std::get_if<request::cancel_action>(&action)) {
                return result->outcome;
            }
        }
        return request::cancel_outcome::unresolved;
    };
    const auto waiting = entry.jobCoordinatedBy(0);
    entry.keys.submit(waiting, 1, entry.at);
    const auto withdrawn = entry.keys.cancel(waiting.key, 2, entry.at);
    CHECK(cancelOutcome(withdrawn) == request::cancel_outcome::cancelled);
    CHECK(outcomeFor(withdrawn, 1) == "cancelled");
    CHECK_FALSE(entry.keys.beginAttempt(*request::packKey(waiting.key), entry.at));

    const auto running = entry.jobCoordinatedBy(0);
    const auto key = *request::packKey(running.key);
    entry.keys.submit(running, 3, entry.at);
    CHECK(entry.keys.beginAttempt(key, entry.at));
    CHECK(std::holds_alternative<request::stop_action>(entry.keys.cancel(running.key, 4, entry.at).at(0)));
    const auto stopped = entry.keys.complete(key, core::failure(core::error_kind::stopped), entry.at);
    CHECK(cancelOutcome(stopped) == request::cancel_outcome::stopped);
    CHECK(cancelOutcome(entry.keys.cancel(running.key, 5, entry.at)) == request::cancel_outcome::stopped);
}

TEST_CASE("an entry that leaves transfers each key to two others and accepts none", "[key_authority]")
{
    entry_fixture entry{4};
    const auto spec = entry.jobCoordinatedBy(0);
    const auto key = *request::packKey(spec.key);
    request::delegate order{1, 1, false, 1, spec};
    CHECK_FALSE(entry.keys.receive(member(1), order, entry.at).empty());
    const auto kept = entry.jobCoordinatedBy(0);
    const request::handover handed{2, {{kept.key, 1, {}, {}, std::string{"output"}}}};
    CHECK(messagesIn<request::handover_reply>(entry.keys.receive(member(1), handed, entry.at)).size() == 1);
    CHECK_FALSE(entry.keys.beginAttempt(key, entry.at));
    const auto batches = messagesIn<request::handover>(entry.keys.transferKeys(entry.at));
    int copies = 0;
    for (const auto &[to, batch] : batches) {
        copies += static_cast<int>(std::ranges::count(batch.keys, kept.key, &request::transferred_key::key));
        CHECK_FALSE(entry.keys.transferComplete());
        entry.keys.receive(to, request::handover_reply{batch.correlation}, entry.at);
    }
    CHECK(copies == 2);
    CHECK(entry.keys.transferComplete());
    CHECK(entry.keys.receive(member(1), handed, entry.at).empty());
    order.spec = entry.jobCoordinatedBy(0);
    const auto refused = messagesIn<request::delegate_reply>(entry.keys.receive(member(1), order, entry.at));
    CHECK(refused.at(0).second.status == request::delegate_status::undecided);
    entry.keys.unreachable(member(2).member, entry.at);
    entry.keys.unreachable(member(3).member, entry.at);
    entry.keys.transferKeys(entry.at);
    CHECK_FALSE(entry.keys.transferComplete());
}

TEST_CASE("a definite outcome replaces an unknown one and is never replaced", "[key_authority]")
{
    entry_fixture entry{1};
    const auto spec = entry.jobCoordinatedBy(0);
    const auto key = *request::packKey(spec.key);
    entry.keys.submit(spec, 1, entry.at);
    CHECK(entry.keys.beginAttempt(key, entry.at));
    entry.keys.complete(key, core::failure(core::error_kind::outcome_unknown), entry.at);
    CHECK(outcomeFor(entry.keys.requestAnswer(spec.key, 2, entry.at), 2) == "outcome_unknown");
    entry.keys.complete(key, std::string{"done"}, entry.at);
    CHECK(outcomeFor(entry.keys.requestAnswer(spec.key, 3, entry.at), 3) == "ok");
    entry.keys.complete(key, core::failure(core::error_kind::job_failed), entry.at);
    CHECK(outcomeFor(entry.keys.requestAnswer(spec.key, 4, entry.at), 4) == "ok");
}

TEST_CASE("a second attempt and a wrong not-run answer breach invariants", "[key_authority]")
{
    entry_fixture entry{1};
    const auto spec = entry.jobCoordinatedBy(0);
    const auto key = *request::packKey(spec.key);
    entry.keys.submit(spec, 1, entry.at);
    const breach_counter breaches;
    CHECK(entry.keys.beginAttempt(key, entry.at));
    CHECK(breaches.kinds().empty());
    CHECK(entry.keys.beginAttempt(key, entry.at));
    CHECK(breaches.kinds() == std::vector{core::invariant_kind::at_most_once});
    entry.keys.complete(key, core::failure(core::error_kind::worker_unavailable), entry.at);
    CHECK(breaches.kinds().back() == core::invariant_kind::not_run_is_true);
}

TEST_CASE("key records and answers are bounded, and keys are evicted only when every entry refuses them", "[job_table]")
{
    std::mt19937_64 random{baseSeed()};
    const auto at = startInstant();
    request::job_table jobs{{100, 1000}};
    std::vector<request::packed_key> keys;
    for (int index = 0; index < 100; ++index) {
        keys.push_back(*request::packKey(request::makeUuid7(at.wall, random)));
        auto *record = jobs.insert(keys.back(), 1);
        REQUIRE(record != nullptr);
        record->state = request::key_state::in_progress;
        jobs.finish(keys.back(), *record, std::make_shared<const request::job_answer>(std::string(50, 'x')));
    }
    CHECK(jobs.answerBytes() <= 1000);
    CHECK(jobs.find(keys.front())->state == request::key_state::answered);
    CHECK(jobs.insert(*request::packKey(request::makeUuid7(at.wall, random)), 1) == nullptr);
    jobs.expire(at.wall + request::keyLifetime + 2 * request::memberClockSkew);
    CHECK(jobs.size() == 100);
    jobs.expire(at.wall + request::keyRetention);
    CHECK(jobs.size() == 0);
    CHECK(jobs.answerBytes() == 0);
}

TEST_CASE("the mint time of a UUIDv7 is read from its canonical form, and other forms are rejected", "[uuid7]")
{
    std::mt19937_64 random{baseSeed()};
    for (int round = 0; round < 1000; ++round) {
        const auto minted = core::fromUnixMilliseconds(static_cast<std::int64_t>(random() >> 16U));
        const auto key = request::makeUuid7(minted, random);
        CHECK(*request::mintTimeOf(key.str()) == minted);
        const auto packed = request::packKey(key);
        CHECK(request::unpackKey(*packed) == key);
        auto changed = key.str();
        changed[random() % changed.size()] = "gG-A x"[random() % 6];
        CHECK((changed == key.str() || !request::mintTimeOf(changed)));
    }
    CHECK_FALSE(request::mintTimeOf("01a31893-8a38-4977-a9bf-fd015c6aae15"));
    CHECK_FALSE(request::mintTimeOf("01a31893-8a38-7977-c9bf-fd015c6aae15"));
}
