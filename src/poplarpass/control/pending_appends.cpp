#include <poplarpass/control/constants.h>
#include <poplarpass/control/pending_appends.h>

#include <utility>

namespace poplarpass::control
{
namespace
{
auto isSame(const replication::record &left, const replication::record &right) -> bool
{
    const auto *leftHost = std::get_if<replication::host_record>(&left);
    const auto *rightHost = std::get_if<replication::host_record>(&right);
    if (leftHost != nullptr && rightHost != nullptr) {
        return leftHost->event == rightHost->event && leftHost->controlEpoch == rightHost->controlEpoch
            && leftHost->pool == rightHost->pool && leftHost->wave == rightHost->wave
            && leftHost->bootId == rightHost->bootId;
    }
    const auto *leftWave = std::get_if<replication::wave_record>(&left);
    const auto *rightWave = std::get_if<replication::wave_record>(&right);
    return leftWave != nullptr && rightWave != nullptr && *leftWave == *rightWave;
}
} // namespace

pending_appends::pending_appends(std::string idPrefix)
    : m_idPrefix{std::move(idPrefix)}
{
}

auto pending_appends::request(const append_subject &subject, const replication::record &change,
                              core::monotonic_time now) -> std::optional<append_request>
{
    const auto position = m_pending.find(subject);
    if (position != m_pending.end()) {
        auto &entry = position->second;
        if (isSame(entry.request.change, change)) {
            return repeat(subject, now);
        }
        if (now - entry.firstSent < staleAppendTimeout) {
            return std::nullopt;
        }
        m_subjects.erase(entry.request.id);
        m_pending.erase(position);
    }
    append_request created{core::record_id{m_idPrefix + std::to_string(++m_sequence)}, change};
    m_subjects.emplace(created.id, subject);
    m_pending.emplace(subject, pending{created, now, now});
    return created;
}

auto pending_appends::repeat(const append_subject &subject, core::monotonic_time now) -> std::optional<append_request>
{
    const auto position = m_pending.find(subject);
    if (position == m_pending.end() || now - position->second.lastSent < appendRetryInterval) {
        return std::nullopt;
    }
    position->second.lastSent = now;
    return position->second.request;
}

auto pending_appends::onApplied(const core::record_id &id) -> void
{
    const auto position = m_subjects.find(id);
    if (position == m_subjects.end()) {
        return;
    }
    m_pending.erase(position->second);
    m_subjects.erase(position);
}

auto pending_appends::pendingRecord(const append_subject &subject) const -> const replication::record *
{
    const auto position = m_pending.find(subject);
    return position == m_pending.end() ? nullptr : &position->second.request.change;
}

auto pending_appends::clear() -> void
{
    m_pending.clear();
    m_subjects.clear();
}
} // namespace poplarpass::control
