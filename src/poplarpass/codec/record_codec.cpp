#include <poplarpass/codec/record_codec.h>
#include <poplarpass/codec/wire_fields.h>

#include <cassert>

namespace poplarpass::codec
{
using internal::field_reader;
using internal::readNested;
using nlohmann::json;

namespace internal
{
auto fieldsOf(const replication::config_record &change) -> json
{
    return json::array({change.basedOn, change.operatorName, change.text, fieldsOf(change.config)});
}

auto readFields(field_reader &in, replication::config_record &change) -> void
{
    in.read(change.basedOn).read(change.operatorName).read(change.text).readItem(change.config, readNested);
}

auto fieldsOf(const replication::member_leave_record &change) -> json
{
    return json::array(
        {change.member.str(), change.incarnation, change.controlEpoch, change.atUnixMs, change.handedOver});
}

auto readFields(field_reader &in, replication::member_leave_record &change) -> void
{
    in.read(change.member).read(change.incarnation).read(change.controlEpoch).read(change.atUnixMs);
    in.read(change.handedOver);
}

auto fieldsOf(const replication::removal_settled_record &change) -> json
{
    return json::array({change.epoch, change.atUnixMs});
}

auto readFields(field_reader &in, replication::removal_settled_record &change) -> void
{
    in.read(change.epoch).read(change.atUnixMs);
}

auto fieldsOf(const replication::control_claim_record &change) -> json
{
    return json::array({change.holder.str(), change.incarnation, change.epoch, change.lastRenewal});
}

auto readFields(field_reader &in, replication::control_claim_record &change) -> void
{
    in.read(change.holder).read(change.incarnation).read(change.epoch).read(change.lastRenewal);
}

auto fieldsOf(const replication::control_renew_record &change) -> json
{
    return json::array({change.epoch});
}

auto readFields(field_reader &in, replication::control_renew_record &change) -> void
{
    in.read(change.epoch);
}

auto fieldsOf(const replication::host_record &change) -> json
{
    // Only an add record includes the description of the host.
    const bool described = change.event == replication::host_event::add;
    return json::array({static_cast<std::uint32_t>(change.event), change.host.str(), change.controlEpoch,
                        change.pool.str(), change.wave.str(), change.bootId,
                        described ? json::array({fieldsOf(change.description)}) : json::array()});
}

auto readFields(field_reader &in, replication::host_record &change) -> void
{
    std::vector<platform::listed_host> descriptions;
    in.readEnum(change.event, replication::host_event::remove)
        .read(change.host)
        .read(change.controlEpoch)
        .read(change.pool);
    in.read(change.wave).read(change.bootId).readItems(descriptions, readNested);
    const auto expected = change.event == replication::host_event::add ? 1U : 0U;
    if (descriptions.size() != expected) {
        in.fail();
    } else if (expected == 1) {
        change.description = std::move(descriptions.front());
    }
}

auto fieldsOf(const replication::wave_record &change) -> json
{
    return json::array({static_cast<std::uint32_t>(change.action), change.wave.str(), fieldsOf(change.pools),
                        change.operatorName, change.controlEpoch});
}

auto readFields(field_reader &in, replication::wave_record &change) -> void
{
    in.readEnum(change.action, replication::wave_action::finish).read(change.wave).readItem(change.pools, readNested);
    in.read(change.operatorName).read(change.controlEpoch);
}

auto fieldsOf(const replication::snapshot_record &change) -> json
{
    return json::array({change.stateOffset, change.digest, change.part, change.parts, binaryOf(change.bytes)});
}

auto readFields(field_reader &in, replication::snapshot_record &change) -> void
{
    in.read(change.stateOffset).read(change.digest).read(change.part).read(change.parts).readBytes(change.bytes);
}
} // namespace internal

namespace
{
template <std::size_t index>
auto defaultRecord(std::size_t recordKind) -> replication::record
{
    if constexpr (index + 1 < std::variant_size_v<replication::record>) {
        if (recordKind != index) {
            return defaultRecord<index + 1>(recordKind);
        }
    }
    return replication::record{std::in_place_index<index>};
}

auto malformed(std::string detail) -> tl::unexpected<core::error>
{
    return core::failure(core::error_kind::malformed_message, std::move(detail));
}
} // namespace

auto encodeRecord(const replication::record &record) -> std::string
{
    auto fields = std::visit([](const auto &typed) { return internal::fieldsOf(typed); }, record);
    auto bytes = internal::toCbor(json::array({wireVersion, record.index(), std::move(fields)}));
    assert(bytes.size() <= maxRecordBytes);
    return bytes;
}

auto decodeRecord(std::string_view bytes) -> core::result<replication::record>
{
    if (bytes.size() > maxRecordBytes) {
        return malformed("record too large: " + std::to_string(bytes.size()) + " bytes");
    }
    const auto document = internal::parseCbor(bytes);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    std::uint32_t version = 0;
    std::uint32_t kind = 0;
    field_reader in{*document};
    in.read(version).read(kind);
    if (in.hasFailed() || version != wireVersion || kind >= std::variant_size_v<replication::record>) {
        return malformed("unknown record version or kind");
    }
    auto record = defaultRecord<0>(kind);
    std::visit([&in](auto &typed) { in.readItem(typed, readNested); }, record);
    if (!in.isComplete()) {
        return malformed("record field missing, unexpected or of the wrong type");
    }
    return record;
}

auto encodeSigned(const replication::record &record, const record_authenticator &authenticator) -> std::string
{
    const auto bytes = encodeRecord(record);
    const auto tag = authenticator.sign(bytes);
    assert(tag.size() <= maxTagBytes);
    return static_cast<char>(tag.size()) + tag + bytes;
}

auto decodeSigned(std::string_view bytes, const record_authenticator &authenticator)
    -> core::result<replication::record>
{
    const std::size_t tagBytes = bytes.empty() ? 0 : static_cast<unsigned char>(bytes.front());
    if (bytes.size() < 1 + tagBytes || tagBytes > maxTagBytes || bytes.size() > maxRecordBytes + 1 + maxTagBytes) {
        return malformed("signed record without a tag or too large");
    }
    const auto tag = bytes.substr(1, tagBytes);
    const auto body = bytes.substr(1 + tagBytes);
    if (!authenticator.verify(body, tag)) {
        return core::failure(core::error_kind::unauthorised, "record tag does not match");
    }
    return decodeRecord(body);
}
} // namespace poplarpass::codec
