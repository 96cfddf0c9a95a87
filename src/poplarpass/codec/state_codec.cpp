#include <poplarpass/codec/record_codec.h>
#include <poplarpass/codec/state_codec.h>
#include <poplarpass/codec/wire_fields.h>

namespace poplarpass::codec
{
using internal::field_reader;
using nlohmann::json;

namespace internal
{
auto fieldsOf(const replication::member_state &member) -> json
{
    return json::array({fieldsOf(member.joined), member.since});
}

auto readFields(field_reader &in, replication::member_state &member) -> void
{
    in.readItem(member.joined, readNested).read(member.since);
}

auto fieldsOf(const replication::entry_incarnation &run) -> json
{
    return json::array({run.member.str(), run.incarnation});
}

auto readFields(field_reader &in, replication::entry_incarnation &run) -> void
{
    in.read(run.member).read(run.incarnation);
}

auto fieldsOf(const replication::entry_loss &loss) -> json
{
    return json::array({fieldsOf(loss.run), loss.epoch, loss.atUnixMs});
}

auto readFields(field_reader &in, replication::entry_loss &loss) -> void
{
    in.readItem(loss.run, readNested).read(loss.epoch).read(loss.atUnixMs);
}

auto fieldsOf(const replication::entry_removal &removal) -> json
{
    return json::array({removal.epoch, fieldsOfAll(removal.before)});
}

auto readFields(field_reader &in, replication::entry_removal &removal) -> void
{
    in.read(removal.epoch).readItems(removal.before, readNested);
}

auto fieldsOf(const replication::entry_history &entries) -> json
{
    return json::array({entries.epoch, entries.settledEpoch, fieldsOfAll(entries.losses),
                        fieldsOfAll(entries.unsettled), entries.singleEntryUntilUnixMs});
}

auto readFields(field_reader &in, replication::entry_history &entries) -> void
{
    in.read(entries.epoch).read(entries.settledEpoch).readItems(entries.losses, readNested);
    in.readItems(entries.unsettled, readNested).read(entries.singleEntryUntilUnixMs);
}

auto fieldsOf(const replication::control_state &control) -> json
{
    return json::array({control.holder.str(), control.incarnation, control.epoch, control.lastRenewal});
}

auto readFields(field_reader &in, replication::control_state &control) -> void
{
    in.read(control.holder).read(control.incarnation).read(control.epoch).read(control.lastRenewal);
}

auto fieldsOf(const replication::host_state &host) -> json
{
    return json::array({fieldsOf(host.description), host.pool.str(), host.generation,
                        static_cast<std::uint32_t>(host.phase), host.movingTo.str(), host.down, host.wave.str(),
                        host.maintainedAt, host.bootId});
}

auto readFields(field_reader &in, replication::host_state &host) -> void
{
    in.readItem(host.description, readNested).read(host.pool).read(host.generation);
    in.readEnum(host.phase, replication::host_phase::rebooting).read(host.movingTo).read(host.down).read(host.wave);
    in.read(host.maintainedAt).read(host.bootId);
}

auto fieldsOf(const replication::wave_state &wave) -> json
{
    return json::array({wave.name.str(), fieldsOf(wave.pools), wave.startedAt, wave.paused, wave.finished});
}

auto readFields(field_reader &in, replication::wave_state &wave) -> void
{
    in.read(wave.name).readItem(wave.pools, readNested).read(wave.startedAt).read(wave.paused).read(wave.finished);
}

auto fieldsOf(const replication::recent_record &seen) -> json
{
    return json::array({seen.offset, seen.id.str(), seen.accepted});
}

auto readFields(field_reader &in, replication::recent_record &seen) -> void
{
    in.read(seen.offset).read(seen.id).read(seen.accepted);
}

auto fieldsOf(const replication::state_parts &parts) -> json
{
    return json::array({wireVersion, parts.offset, fieldsOf(parts.config), parts.configText, parts.revision,
                        parts.memberEpoch, fieldsOfAll(parts.members), fieldsOf(parts.entries), fieldsOf(parts.control),
                        fieldsOfAll(parts.hosts), fieldsOfAll(parts.waves), fieldsOfAll(parts.recentIds)});
}

auto readFields(field_reader &in, replication::state_parts &parts) -> void
{
    in.read(parts.offset).readItem(parts.config, readNested).read(parts.configText).read(parts.revision);
    in.read(parts.memberEpoch).readItems(parts.members, readNested).readItem(parts.entries, readNested);
    in.readItem(parts.control, readNested);
    in.readItems(parts.hosts, readNested).readItems(parts.waves, readNested).readItems(parts.recentIds, readNested);
}
} // namespace internal

auto encodeState(const replication::fleet_state &state) -> std::string
{
    return internal::toCbor(internal::fieldsOf(state.parts()));
}

auto decodeState(std::string_view bytes) -> core::result<replication::fleet_state>
{
    if (bytes.size() > maxStateBytes) {
        return core::failure(core::error_kind::malformed_message, "fleet state exceeds the size limit");
    }
    const auto document = internal::parseCbor(bytes);
    if (!document) {
        return tl::make_unexpected(document.error());
    }
    std::uint32_t version = 0;
    replication::state_parts parts;
    field_reader in{*document};
    in.read(version);
    internal::readFields(in, parts);
    if (!in.isComplete() || version != wireVersion) {
        return core::failure(core::error_kind::malformed_message,
                             "fleet state with an unknown version or invalid fields");
    }
    return replication::fleet_state::fromParts(std::move(parts));
}
} // namespace poplarpass::codec
