#include "replication_sim.h"

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

auto replication_sim::checkTransition(const replication::fleet_state &before, const replication::record &change,
                                      const replication::applied &outcome) -> void
{
    if (!outcome.accepted) {
        const bool overBudget = outcome.refusal && outcome.refusal->kind == core::error_kind::budget_exceeded;
        m_counts.budgetRefusals += overBudget ? 1 : 0;
        require(m_referenceState.revision() == before.revision(), "a refused record changed the revision");
        return;
    }
    m_counts.acceptedClaims += std::holds_alternative<replication::control_claim_record>(change) ? 1 : 0;
    m_counts.membershipChanges += m_referenceState.memberEpoch() != before.memberEpoch() ? 1 : 0;
    require(m_referenceState.entries().epoch >= before.entries().epoch, "the epoch of the entries decreased");
    require(m_referenceState.control().epoch >= before.control().epoch, "the control epoch decreased");
    require(m_referenceState.revision() >= before.revision(), "the revision in force decreased");
    if (const auto *revision = std::get_if<replication::config_record>(&change)) {
        require(revision->basedOn == before.revision(),
                "a revision was accepted with a base other than the one in force");
    }
    checkHosts(before, change);
    checkBudgets(before, change);
}

auto replication_sim::checkHosts(const replication::fleet_state &before, const replication::record &change) -> void
{
    const auto *record = std::get_if<replication::host_record>(&change);
    std::set<core::host_id> names;
    for (const auto &host : m_referenceState.hosts()) {
        require(names.insert(host.description.host).second, "duplicate host in the state");
        const auto *previous = before.findHost(host.description.host);
        if (previous == nullptr || previous->pool == host.pool) {
            continue;
        }
        const bool joined = record != nullptr && record->event == replication::host_event::join
            && previous->phase == replication::host_phase::drained && !previous->serves();
        require(joined && host.generation == m_referenceState.offset(),
                "a host changed its pool without preceding leave and drained records");
        ++m_counts.moves;
    }
    require(record == nullptr || record->controlEpoch == before.control().epoch,
            "a host record of a stale control epoch was accepted");
}

auto replication_sim::checkBudgets(const replication::fleet_state &before, const replication::record &change) -> void
{
    const auto *record = std::get_if<replication::host_record>(&change);
    const bool isPlannedOutage = record != nullptr
        && (record->event == replication::host_event::drain_start || record->event == replication::host_event::leave);
    if (isPlannedOutage) {
        const auto &pool = m_referenceState.findHost(record->host)->pool;
        m_counts.drains += record->event == replication::host_event::drain_start ? 1 : 0;
        require(m_referenceState.findPool(pool) == nullptr || spareOf(m_referenceState, pool) >= 0,
                "a planned outage violated the budget of the pool");
    }
    if (!std::holds_alternative<replication::config_record>(change) || m_referenceState.hosts().empty()) {
        return;
    }
    for (const auto &pool : m_referenceState.config().pools) {
        const auto previous = before.findPool(pool.name) == nullptr ? 0 : std::min(0, spareOf(before, pool.name));
        require(spareOf(m_referenceState, pool.name) >= previous,
                "a revision was accepted that its hosts cannot satisfy");
    }
}

auto replication_sim::checkReportedOutcomes() -> void
{
    std::map<std::uint64_t, int> acceptedByBase;
    for (const auto &each : m_reportedOutcomes) {
        const auto *seen = m_referenceState.findRecord(each.id);
        const bool accepted = seen != nullptr && seen->accepted;
        switch (each.outcome.result) {
        case replication::publish_result::accepted:
            ++m_counts.accepted;
            require(accepted && seen->offset == each.outcome.offset,
                    "revision reported as accepted, but it was not accepted");
            require(++acceptedByBase[each.basedOn] == 1, "two revisions with the same base were reported as accepted");
            break;
        case replication::publish_result::refused:
            ++m_counts.refused;
            require(!accepted, "revision reported as refused, but it was accepted");
            break;
        case replication::publish_result::not_accepted:
            ++m_counts.notAccepted;
            require(seen == nullptr, "revision reported as never sent, but it is in the log");
            break;
        case replication::publish_result::unknown:
            ++m_counts.unknown;
            break;
        }
    }
}
} // namespace tests
