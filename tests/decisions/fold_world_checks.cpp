#include "fold_world.h"

#include <set>
#include <stdexcept>

namespace tests
{
namespace
{
auto require(bool holds, const std::string &what) -> void
{
    if (!holds) {
        throw std::runtime_error{what};
    }
}

auto spareOf(const replication::fleet_state &state, const core::pool_id &pool) -> int
{
    const auto *declared = state.findPool(pool);
    return replication::evaluateBudget(*declared, *state.findProfile(declared->profile), state.hosts()).spareSlots();
}
} // namespace

auto fold_world::checkTruth(const replication::fleet_state &before, const replication::record &change,
                            const replication::applied &outcome) -> void
{
    if (!outcome.accepted) {
        const bool limited = outcome.refusal && outcome.refusal->kind == core::error_kind::budget_exceeded;
        m_reached.limited += limited ? 1 : 0;
        require(m_truth.revision() == before.revision(), "a refused record changed the revision");
        return;
    }
    m_reached.handovers += std::holds_alternative<replication::control_claim_record>(change) ? 1 : 0;
    m_reached.members += m_truth.memberEpoch() != before.memberEpoch() ? 1 : 0;
    require(m_truth.entries().epoch >= before.entries().epoch, "the epoch of the entries went back");
    require(m_truth.control().epoch >= before.control().epoch, "the control epoch went back");
    require(m_truth.revision() >= before.revision(), "the agreed revision went back");
    if (const auto *revision = std::get_if<replication::config_record>(&change)) {
        require(revision->basedOn == before.revision(), "a revision was accepted on top of another");
    }
    checkHosts(before, change);
    checkBudgets(before, change);
}

auto fold_world::checkHosts(const replication::fleet_state &before, const replication::record &change) -> void
{
    const auto *record = std::get_if<replication::host_record>(&change);
    std::set<core::host_id> names;
    for (const auto &host : m_truth.hosts()) {
        require(names.insert(host.description.host).second, "a host stands twice");
        const auto *former = before.findHost(host.description.host);
        if (former == nullptr || former->pool == host.pool) {
            continue;
        }
        const bool joined = record != nullptr && record->event == replication::host_event::join
            && former->phase == replication::host_phase::drained && !former->serves();
        require(joined && host.generation == m_truth.offset(), "a host changed its pool without leave and drained");
        ++m_reached.moves;
    }
    require(record == nullptr || record->controlEpoch == before.control().epoch, "an old epoch moved a host");
}

auto fold_world::checkBudgets(const replication::fleet_state &before, const replication::record &change) -> void
{
    const auto *record = std::get_if<replication::host_record>(&change);
    const bool takes = record != nullptr
        && (record->event == replication::host_event::drain_start || record->event == replication::host_event::leave);
    if (takes) {
        const auto &pool = m_truth.findHost(record->host)->pool;
        m_reached.drains += record->event == replication::host_event::drain_start ? 1 : 0;
        require(m_truth.findPool(pool) == nullptr || spareOf(m_truth, pool) >= 0, "a planned change broke a budget");
    }
    if (!std::holds_alternative<replication::config_record>(change) || m_truth.hosts().empty()) {
        return;
    }
    for (const auto &pool : m_truth.config().pools) {
        const auto former = before.findPool(pool.name) == nullptr ? 0 : std::min(0, spareOf(before, pool.name));
        require(spareOf(m_truth, pool.name) >= former, "a revision promised what was not there");
    }
}

auto fold_world::checkTold() -> void
{
    std::map<std::uint64_t, int> winners;
    for (const auto &each : m_told) {
        const auto *seen = m_truth.findRecord(each.id);
        const bool accepted = seen != nullptr && seen->accepted;
        switch (each.outcome.result) {
        case replication::publish_result::accepted:
            ++m_reached.accepted;
            require(accepted && seen->offset == each.outcome.offset, "told accepted, but it is not");
            require(++winners[each.basedOn] == 1, "two operators were told that they won");
            break;
        case replication::publish_result::refused:
            ++m_reached.refused;
            require(!accepted, "told refused, but it is in force");
            break;
        case replication::publish_result::not_accepted:
            ++m_reached.notAccepted;
            require(seen == nullptr, "told that nothing was sent, but it was");
            break;
        case replication::publish_result::unknown:
            ++m_reached.unknown;
            break;
        }
    }
}
} // namespace tests
