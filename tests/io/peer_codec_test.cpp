#include "test_seed.h"

#include <poplarpass/codec/cbor_depth.h>
#include <poplarpass/codec/peer_codec.h>
#include <poplarpass/request/constants.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace poplarpass;
using nlohmann::json;

namespace
{
const core::job_key key{"01a31893-8a38-7977-a9bf-fd015c6aae15"};
const request::member_ref holder{core::member_id{"entry-1"}, 7};

auto sampleJob() -> request::job_spec
{
    request::job_spec spec;
    spec.key = key;
    spec.team = core::team_id{"team"};
    spec.level = request::urgency::batch;
    spec.memoryMb = -1;
    spec.deadline = core::fromUnixMilliseconds(1'800'000'000'000);
    spec.payload = std::string{"\0\xff binary", 9};
    return spec;
}

// One message of each type but worker_contact_report, state_request and state_reply; every optional part is set in
// some.
auto samples() -> std::vector<request::peer_message>
{
    const request::job_answer output = std::string{"output"};
    core::error failed{core::error_kind::queue_full, "detail", std::chrono::seconds{2}};
    const request::job_answer problem = tl::make_unexpected(failed);
    request::heartbeat beat;
    beat.from = holder;
    beat.sequence = 1ULL << 63U;
    beat.demand = {{core::pool_id{"a"}, 1, 2, 3}, {core::pool_id{"b"}, 4, 5, 6}};
    return {request::grant_request{1, 2, key, ~0ULL},
            request::grant_reply{1, 2, key, request::grant_status::answered, holder, output},
            request::promise_request{1, 2, key, 3},
            request::promise_reply{1, 2, key, request::promise_status::promised, {}, {holder, holder}, std::nullopt},
            request::job_query{1, key, 3},
            request::job_report{1, key, request::job_phase::answered, {}, problem},
            request::cancel_request{1, key, 2},
            request::cancel_reply{1, key, request::cancel_outcome::too_late, output},
            request::delegate{1, 2, true, 3, sampleJob()},
            request::delegate_reply{1, key, request::delegate_status::held, holder, std::nullopt},
            request::handover{1, {{key, 2, holder, {holder}, problem}, {key, 3, {}, {}, std::nullopt}}},
            request::handover_reply{1},
            beat};
}

auto kindOf(const core::result<request::peer_message> &result) -> core::error_kind
{
    return result ? core::error_kind::internal : result.error().kind;
}

auto cborOf(const json &object) -> std::string
{
    const auto bytes = json::to_cbor(object);
    return {bytes.begin(), bytes.end()};
}
} // namespace

TEST_CASE("peer messages survive an encode-decode round trip", "[peer_codec]")
{
    for (const auto &message : samples()) {
        const auto bytes = codec::encodePeerMessage(message);
        const auto decoded = codec::decodePeerMessage(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(codec::encodePeerMessage(*decoded) == bytes);
    }
    const auto decoded =
        codec::decodePeerMessage(codec::encodePeerMessage(request::delegate{1, 2, true, 3, sampleJob()}));
    CHECK(std::get<request::delegate>(*decoded).spec == sampleJob());
}

TEST_CASE("a missing, additional or wrongly typed field makes a message malformed", "[peer_codec]")
{
    for (const auto &message : samples()) {
        const auto bytes = codec::encodePeerMessage(message);
        const auto object = json::from_cbor(bytes);
        for (const auto &[name, value] : object.items()) {
            auto missing = object;
            missing.erase(name);
            CHECK(kindOf(codec::decodePeerMessage(cborOf(missing))) == core::error_kind::malformed_message);
            auto mistyped = object;
            mistyped[name] = 1.5;
            CHECK(kindOf(codec::decodePeerMessage(cborOf(mistyped))) == core::error_kind::malformed_message);
        }
        auto more = object;
        more["more"] = 1;
        CHECK(kindOf(codec::decodePeerMessage(cborOf(more))) == core::error_kind::malformed_message);
        auto newer = object;
        newer["version"] = request::peerProtocolVersion + 1;
        CHECK(kindOf(codec::decodePeerMessage(cborOf(newer))) == core::error_kind::malformed_message);
    }
}

TEST_CASE("truncated, oversized and deeply nested messages are rejected, corrupted ones decode or are malformed",
          "[peer_codec]")
{
    std::mt19937_64 random{tests::baseSeed()};
    for (const auto &message : samples()) {
        const auto bytes = codec::encodePeerMessage(message);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CHECK_FALSE(codec::decodePeerMessage(std::string_view{bytes}.substr(0, length)));
        }
        CHECK_FALSE(codec::decodePeerMessage(bytes + '\0'));
        for (int round = 0; round < 2000; ++round) {
            auto changed = bytes;
            changed[random() % changed.size()] = static_cast<char>(random());
            const auto decoded = codec::decodePeerMessage(changed);
            CHECK((decoded || decoded.error().kind == core::error_kind::malformed_message));
        }
    }
    CHECK_FALSE(codec::decodePeerMessage(std::string(request::maxPeerMessageBytes + 1, '\0')));
    CHECK_FALSE(codec::decodePeerMessage(std::string(1'000'000, '\x81')));
    CHECK_FALSE(codec::decodePeerMessage(std::string(1'000'000, '\xc1')));
    CHECK_FALSE(codec::decodePeerMessage(std::string(1'000'000, '\x9f')));
    CHECK(codec::internal::cborDepthWithin("\x82\x81\x01\x81\x01", 2));
    CHECK_FALSE(codec::internal::cborDepthWithin("\x82\x81\x01\x81\x81\x01", 2));
}
