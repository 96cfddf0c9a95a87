#include <poplarpass/core/rendezvous.h>
#include <poplarpass/replication/state_digest.h>

#include <bit>
#include <string>
#include <type_traits>

namespace poplarpass::replication::internal
{
namespace
{
// Fixed-width little-endian numbers and length-prefixed strings, so that different states never encode alike.
class digest_writer
{
public:
    template <class number>
        requires std::is_integral_v<number> || std::is_enum_v<number>
    auto add(number value) -> digest_writer &
    {
        auto remaining = static_cast<std::uint64_t>(value);
        for (int byte = 0; byte < 8; ++byte) {
            m_bytes.push_back(static_cast<char>(remaining & 0xffU));
            remaining >>= 8U;
        }
        return *this;
    }

    auto add(double value) -> digest_writer &
    {
        return add(std::bit_cast<std::uint64_t>(value));
    }

    auto add(std::string_view text) -> digest_writer &
    {
        add(text.size());
        m_bytes.append(text);
        return *this;
    }

    template <class tag>
    auto add(const core::string_id<tag> &id) -> digest_writer &
    {
        return add(std::string_view{id.str()});
    }

    template <class item>
    auto addAll(const std::vector<item> &items) -> digest_writer &
    {
        add(items.size());
        for (const auto &each : items) {
            write(*this, each);
        }
        return *this;
    }

    [[nodiscard]] auto digest() const -> std::uint64_t
    {
        return core::stableHash(m_bytes);
    }

private:
    std::string m_bytes;
};

auto write(digest_writer &out, const core::pool_id &pool) -> void
{
    out.add(pool);
}

auto write(digest_writer &out, const config::calendar_window &window) -> void
{
    out.add(window.weekdays).add(window.startMinute).add(window.lengthMinutes);
}

auto write(digest_writer &out, const config::calendar &calendar) -> void
{
    out.add(std::string_view{calendar.name}).add(calendar.utcOffsetMinutes).addAll(calendar.windows);
}

auto write(digest_writer &out, const config::profile &profile) -> void
{
    out.add(profile.name).add(profile.headroom).add(profile.lossDomain).add(profile.maxLost).add(profile.maxOut);
    out.add(std::string_view{profile.calendar}).add(profile.maxLent).add(profile.maxBorrowed);
}

auto write(digest_writer &out, const config::pool &pool) -> void
{
    out.add(pool.name).add(pool.profile).add(pool.demandSlots).add(pool.spare);
}

auto write(digest_writer &out, const config::service &service) -> void
{
    out.add(service.name).add(service.pool).add(service.profile);
}

auto write(digest_writer &out, const config::team &team) -> void
{
    out.add(team.name).add(team.quotaSlots).add(team.weight);
}

auto write(digest_writer &out, const platform::listed_host &host) -> void
{
    out.add(host.host).add(std::string_view{host.address}).add(host.region).add(host.zone).add(host.rack);
    out.add(host.pool).add(host.slots).add(host.connections).add(host.cores).add(host.memoryMb);
    out.add(host.accelerators).add(host.leaving);
}
} // namespace

auto digestOf(const config::fleet_config &config, std::string_view text, std::uint64_t revision) -> std::uint64_t
{
    digest_writer out;
    out.addAll(config.calendars).addAll(config.profiles).addAll(config.pools).addAll(config.services);
    out.addAll(config.teams).add(config.weights.bufferCost).add(config.weights.moves).add(text).add(revision);
    return out.digest();
}

auto digestOf(std::span<const member_state> members) -> std::uint64_t
{
    digest_writer out;
    for (const auto &member : members) {
        const auto &joined = member.joined;
        out.add(joined.member).add(joined.kind).add(joined.incarnation).add(std::string_view{joined.address});
        out.add(joined.region).add(joined.zone).add(joined.atUnixMs).add(member.since);
    }
    return out.digest();
}

auto digestOf(const entry_history &entries) -> std::uint64_t
{
    digest_writer out;
    out.add(entries.epoch).add(entries.settledEpoch).add(entries.singleEntryUntilUnixMs);
    for (const auto &loss : entries.losses) {
        out.add(loss.run.member).add(loss.run.incarnation).add(loss.epoch).add(loss.atUnixMs);
    }
    for (const auto &removal : entries.unsettled) {
        out.add(removal.epoch);
        for (const auto &entry : removal.before) {
            out.add(entry.member).add(entry.incarnation);
        }
    }
    return out.digest();
}

auto digestOf(const host_state &host) -> std::uint64_t
{
    digest_writer out;
    write(out, host.description);
    out.add(host.pool).add(host.generation).add(host.phase).add(host.movingTo).add(host.down).add(host.wave);
    out.add(host.maintainedAt).add(host.bootId);
    return out.digest();
}

auto digestOf(std::span<const wave_state> waves) -> std::uint64_t
{
    digest_writer out;
    for (const auto &wave : waves) {
        out.add(wave.name).addAll(wave.pools).add(wave.startedAt).add(wave.paused).add(wave.finished);
    }
    return out.digest();
}

auto digestOf(const control_state &control) -> std::uint64_t
{
    digest_writer out;
    out.add(control.holder).add(control.incarnation).add(control.epoch).add(control.lastRenewal);
    return out.digest();
}

auto digestOf(std::initializer_list<std::uint64_t> numbers) -> std::uint64_t
{
    digest_writer out;
    for (const auto number : numbers) {
        out.add(number);
    }
    return out.digest();
}
} // namespace poplarpass::replication::internal
