#include "fleet_fixture.h"
#include "test_seed.h"

#include <poplarpass/codec.h>

#include <catch2/catch.hpp>

#include <random>

using namespace tests;
namespace codec = poplarpass::codec;

namespace
{
auto sampleRecords() -> std::vector<replication::record>
{
    auto add = addRecord(makeHost(1, 5), 7);
    auto move = hostRecord(replication::host_event::join, "p0-h3", 8);
    move.pool = core::pool_id{"p1"};
    move.wave = core::wave_id{"w"};
    move.bootId = 1ULL << 63U;
    return {
        replication::config_record{4, "ana", "[weights]\n", makeConfig(3, 16)},
        replication::member_join_record{core::member_id{"e1"}, replication::member_kind::control, 9, "10.0.0.1:1",
                                        core::region_id{"r"}, core::zone_id{"z"}, 1795996800000},
        replication::member_leave_record{core::member_id{"e1"}, 9, 2, 1795996800000, true},
        replication::removal_settled_record{11, 1795996800000},
        replication::control_claim_record{core::member_id{"c1"}, 3, 4, 1000},
        replication::control_renew_record{4},
        add,
        move,
        replication::wave_record{replication::wave_action::pause, core::wave_id{"w"}, {core::pool_id{"p0"}}, "bo", 0},
        replication::snapshot_record{12, 0xffff'ffff'ffff'ffffULL, 1, 3, std::string{"\0\xff bytes", 8}}};
}

auto sampleState() -> replication::fleet_state
{
    fleet_builder script;
    script.build(2, 8, 16);
    for (const std::string name : {"e1", "e2", "e3"}) {
        script.apply(replication::member_join_record{
            core::member_id{name}, replication::member_kind::entry, 1, "10.0.0.1:1", {}, {}, 5});
    }
    script.apply(replication::member_leave_record{core::member_id{"e1"}, 1, 1, 6, false});
    script.apply(
        replication::wave_record{replication::wave_action::start, core::wave_id{"w"}, {core::pool_id{"p0"}}, "ana", 0});
    script.host(replication::host_event::drain_start, "p0-h0", "", "w");
    script.host(replication::host_event::down, "p1-h0");
    return script.state;
}

auto mutate(std::string bytes, std::mt19937_64 &random) -> std::string
{
    const auto edits = 1 + random() % 3;
    for (std::size_t edit = 0; edit < edits && !bytes.empty(); ++edit) {
        const auto position = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[position] = static_cast<char>(random());
            break;
        case 1:
            bytes.insert(position, 1 + random() % 4, static_cast<char>(random()));
            break;
        case 2:
            bytes.erase(position, 1 + random() % 8);
            break;
        default:
            bytes[position] = static_cast<char>(bytes[position] ^ (1 << random() % 8));
            break;
        }
    }
    return bytes;
}

// A checksum in place of a cryptographic tag: sufficient to check that sign and verify are called on the right bytes.
auto checksumAuthenticator(char key) -> codec::record_authenticator
{
    const auto sign = [key](std::string_view bytes) {
        char sum = key;
        for (const char each : bytes) {
            sum = static_cast<char>(sum * 31 + each);
        }
        return std::string(4, sum);
    };
    return {sign, [sign](std::string_view bytes, std::string_view tag) {
                return sign(bytes) == tag;
            }};
}
} // namespace

TEST_CASE("every record survives an encode-decode round trip", "[codec]")
{
    for (const auto &record : sampleRecords()) {
        const auto bytes = codec::encodeRecord(record);
        const auto decoded = codec::decodeRecord(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == record.index());
        CHECK(codec::encodeRecord(*decoded) == bytes);
        if (const auto *revision = std::get_if<replication::config_record>(&record)) {
            CHECK(std::get<replication::config_record>(*decoded) == *revision);
        }
    }
}

TEST_CASE("a decoded state has the same digest, also after another record", "[codec]")
{
    auto state = sampleState();
    const auto bytes = codec::encodeState(state);
    auto decoded = codec::decodeState(bytes);
    REQUIRE(decoded);
    CHECK(decoded->digest() == state.digest());
    const replication::control_renew_record renewal{1};
    CHECK(state.apply(500, core::record_id{"x"}, renewal).accepted);
    CHECK(decoded->apply(500, core::record_id{"x"}, renewal).accepted);
    CHECK(decoded->digest() == state.digest());
}

TEST_CASE("records of another version and truncated or extended records are rejected", "[codec]")
{
    for (const auto &record : sampleRecords()) {
        const auto bytes = codec::encodeRecord(record);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            REQUIRE_FALSE(codec::decodeRecord(std::string_view{bytes}.substr(0, length)));
        }
        CHECK_FALSE(codec::decodeRecord(bytes + '\0'));
        auto otherVersion = bytes;
        otherVersion[1] = 2;
        const auto decoded = codec::decodeRecord(otherVersion);
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().kind == core::error_kind::malformed_message);
    }
    CHECK_FALSE(codec::decodeRecord(std::string(codec::maxRecordBytes + 1, '\0')));
}

TEST_CASE("deep nesting and oversized declared lengths are rejected", "[codec]")
{
    CHECK_FALSE(codec::decodeRecord(std::string(200000, '\x81')));
    CHECK_FALSE(codec::decodeState(std::string(2000000, '\x9f')));
    CHECK_FALSE(codec::decodeRecord("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff\x01"));
    CHECK_FALSE(codec::decodeRecord("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff\x01"));
    CHECK_FALSE(codec::decodeRecord("\xbb\xff\xff\xff\xff\xff\xff\xff\xff\x01"));
}

TEST_CASE("mutated bytes never crash a decoder, and accepted ones can be encoded and decoded again", "[codec]")
{
    std::mt19937_64 random{baseSeed()};
    const auto records = sampleRecords();
    const auto state = codec::encodeState(sampleState());
    const auto authenticator = checksumAuthenticator('k');
    std::size_t refused = 0;
    for (int round = 0; round < 20000; ++round) {
        const auto &record = records[random() % records.size()];
        const auto decoded = codec::decodeRecord(mutate(codec::encodeRecord(record), random));
        if (decoded) {
            REQUIRE(codec::decodeRecord(codec::encodeRecord(*decoded)));
        }
        refused += decoded ? 0 : 1;
        codec::decodeSigned(mutate(codec::encodeSigned(record, authenticator), random), authenticator);
        if (round % 10 == 0) {
            const auto mutant = codec::decodeState(mutate(state, random));
            if (mutant) {
                REQUIRE(codec::decodeState(codec::encodeState(*mutant))->digest() == mutant->digest());
            }
        }
    }
    CHECK(refused > 10000);
}

TEST_CASE("a record with a wrong tag is unauthorised", "[codec]")
{
    const auto record = sampleRecords().front();
    const auto bytes = codec::encodeSigned(record, checksumAuthenticator('k'));
    CHECK(codec::decodeSigned(bytes, checksumAuthenticator('k')));
    const auto rejected = codec::decodeSigned(bytes, checksumAuthenticator('x'));
    REQUIRE_FALSE(rejected);
    CHECK(rejected.error().kind == core::error_kind::unauthorised);
    CHECK_FALSE(codec::decodeSigned("", checksumAuthenticator('k')));
    CHECK_FALSE(codec::decodeSigned("\x40", checksumAuthenticator('k')));
}
