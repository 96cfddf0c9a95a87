#include <poplarpass/app/clock.h>
#include <poplarpass/app/membership_publisher.h>

#include <algorithm>
#include <utility>

namespace poplarpass::app
{
namespace
{
constexpr core::duration joinTimeout = std::chrono::seconds{5};
constexpr core::duration leaveTimeout = std::chrono::seconds{3};
} // namespace

auto ownJoinRecord(const process_runtime &process, replication::member_kind kind, std::string address)
    -> replication::member_join_record
{
    const auto &identity = process.settings.process;
    return {identity.name,
            kind,
            process.incarnation,
            std::move(address),
            identity.region,
            identity.zone,
            static_cast<std::uint64_t>(core::toUnixMilliseconds(wallNow()))};
}

membership_publisher::membership_publisher(process_runtime &process, fleet_log &log, replication::member_kind kind,
                                           std::function<void()> onRemoved)
    : m_process{process}
    , m_fleetLog{log}
    , m_kind{kind}
    , m_onRemoved{std::move(onRemoved)}
{
}

auto membership_publisher::isMember() const -> bool
{
    return std::ranges::any_of(m_fleetLog.state().members(), [this](const replication::member_state &member) {
        return member.joined.member == m_process.settings.process.name
            && member.joined.incarnation == m_process.incarnation;
    });
}

auto membership_publisher::tick(const std::string &address) -> void
{
    if (m_leaving || !m_fleetLog.follower().hasState()) {
        return;
    }
    if (isMember()) {
        m_wasMember = true;
        return;
    }
    if (m_wasMember) {
        // Removed while it was suspended or partitioned: its remembered keys are no longer valid.
        m_leaving = true;
        m_process.log.log(observe::log_level::warning, "member_removed");
        m_onRemoved();
        return;
    }
    if (!m_joining) {
        publishJoin(address);
    }
}

auto membership_publisher::publishJoin(const std::string &address) -> void
{
    m_joining = true;
    const auto join = ownJoinRecord(m_process, m_kind, address);
    const core::record_id id{"join/" + join.member.str() + '/' + std::to_string(join.incarnation) + '/'
                             + std::to_string(++m_attempts)};
    m_fleetLog.publish(id, join, joinTimeout, [this](const replication::publish_outcome &outcome) {
        m_joining = false;
        m_process.log.log(observe::log_level::info, "member_join", {{"result", replication::nameOf(outcome.result)}});
    });
}

auto membership_publisher::leave(bool handedOver, std::function<void()> done) -> void
{
    m_leaving = true;
    if (!isMember()) {
        done();
        return;
    }
    replication::member_leave_record leave;
    leave.member = m_process.settings.process.name;
    leave.incarnation = m_process.incarnation;
    leave.atUnixMs = static_cast<std::uint64_t>(core::toUnixMilliseconds(wallNow()));
    leave.handedOver = handedOver;
    const core::record_id id{"leave/" + leave.member.str() + '/' + std::to_string(leave.incarnation)};
    m_fleetLog.publish(id, leave, leaveTimeout,
                       [this, done = std::move(done)](const replication::publish_outcome &outcome) {
                           m_process.log.log(observe::log_level::info, "member_leave",
                                             {{"result", replication::nameOf(outcome.result)}});
                           done();
                       });
}
} // namespace poplarpass::app
