#pragma once

#include "fleet_fixture.h"

#include <poplarpass/replication.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace tests
{
/// \brief In-memory log. Payloads are indices of typed records, so that no codec is needed.
class fake_log
{
public:
    /// \brief Appends \p change and returns its offset.
    auto append(const core::record_id &id, const replication::record &change) -> replication::log_offset
    {
        m_records.push_back(change);
        return appendBytes(id, std::to_string(m_records.size() - 1));
    }

    auto appendBytes(const core::record_id &id, std::string payload) -> replication::log_offset
    {
        m_entries.push_back({nextOffset(), id, std::move(payload)});
        return m_entries.back().offset;
    }

    auto newId() -> core::record_id
    {
        return core::record_id{"id" + std::to_string(++m_lastId)};
    }

    auto trim(replication::log_offset firstKept) -> void
    {
        m_first = std::clamp(firstKept, m_first, nextOffset());
    }

    [[nodiscard]] auto firstOffset() const -> replication::log_offset
    {
        return m_first;
    }

    [[nodiscard]] auto nextOffset() const -> replication::log_offset
    {
        return m_entries.size() + 1;
    }

    /// \brief Returns at most \p max records from \p from, as if the log ended before \p end.
    [[nodiscard]] auto read(replication::log_offset from, std::size_t max, replication::log_offset end) const
        -> core::result<platform::log_page>
    {
        if (from < m_first) {
            return core::failure(core::error_kind::log_trimmed);
        }
        platform::log_page page{{}, m_first, std::max(end, m_first)};
        for (auto offset = from; offset < end && page.entries.size() < max; ++offset) {
            page.entries.push_back(m_entries[offset - 1]);
        }
        return page;
    }

    [[nodiscard]] auto decoder() const -> replication::log_decoder
    {
        return {[this](std::string_view bytes) { return decodeRecord(bytes); },
                [this](std::string_view bytes) {
                    return decodeState(bytes);
                }};
    }

    /// \brief Stores \p state and returns the bytes from which decodeState() restores it.
    auto encode(const replication::fleet_state &state) -> std::string
    {
        m_states.push_back(state);
        return "state-" + std::to_string(m_states.size() - 1);
    }

    auto snapshotParts(const replication::fleet_state &state) -> std::vector<replication::snapshot_record>
    {
        constexpr std::size_t partBytes = 3;
        const replication::snapshot_policy policy{{100, std::chrono::minutes{10}, partBytes}};
        return policy.split(state.offset(), state.digest(), encode(state));
    }

    /// \brief Returns the state after all records up to \p offset, including trimmed ones.
    [[nodiscard]] auto replay(replication::log_offset offset) const -> replication::fleet_state
    {
        replication::fleet_state state;
        for (replication::log_offset next = 1; next <= offset; ++next) {
            const auto &entry = m_entries[next - 1];
            const auto change = decodeRecord(entry.payload);
            if (change) {
                state.apply(next, entry.id, *change);
            } else {
                state.skip(next);
            }
        }
        return state;
    }

private:
    [[nodiscard]] auto decodeRecord(std::string_view bytes) const -> core::result<replication::record>
    {
        if (bytes.empty() || bytes.find_first_not_of("0123456789") != std::string_view::npos) {
            return core::failure(core::error_kind::malformed_message);
        }
        return m_records.at(std::stoull(std::string{bytes}));
    }

    [[nodiscard]] auto decodeState(std::string_view bytes) const -> core::result<replication::fleet_state>
    {
        constexpr std::string_view prefix = "state-";
        if (!bytes.starts_with(prefix)) {
            return core::failure(core::error_kind::malformed_message);
        }
        return m_states.at(std::stoull(std::string{bytes.substr(prefix.size())}));
    }

    std::vector<replication::record> m_records;
    std::vector<replication::fleet_state> m_states;
    std::vector<platform::log_entry> m_entries;
    replication::log_offset m_first = 1;
    std::uint64_t m_lastId = 0;
};

/// \brief Performs one read of \p follower without delay.
inline auto readOnce(const fake_log &log, replication::log_follower &follower, core::monotonic_time now) -> void
{
    constexpr std::size_t pageRecords = 512;
    const auto from = follower.nextRead();
    const auto page = log.read(from, pageRecords, log.nextOffset());
    if (page) {
        follower.pageRead(from, *page, now);
    } else {
        follower.readFailed(from, page.error());
    }
}

/// \brief Reads until the follower is at the end of the log, following or unable to recover.
inline auto readToEnd(const fake_log &log, replication::log_follower &follower, core::monotonic_time now) -> void
{
    constexpr int maxReads = 1000;
    for (int read = 0; read < maxReads; ++read) {
        readOnce(log, follower, now);
        const bool atEnd = follower.nextRead() == log.nextOffset();
        if (atEnd && (follower.phase() == replication::follow_phase::following || follower.cannotRecover())) {
            return;
        }
    }
}
} // namespace tests
