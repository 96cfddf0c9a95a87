#pragma once

#include <poplarpass/host/keyed_follower.h>
#include <poplarpass/host/platform_decoders.h>
#include <poplarpass/jobs/worker_report.h>

#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace poplarpass::host
{
/// \brief Follows the records that workers publish about themselves in the store.
class worker_list
{
public:
    /// \param onRead called after each read, also if nothing changed
    /// \param pause returns the delay before the next read
    worker_list(const core::time_source &time, const store::record_store &records, observe::logger &log,
                worker_decoder decode, std::function<void()> onRead, std::function<core::duration()> pause);

    /// \brief Starts reading.
    auto start() -> void;

    /// \brief Whether the complete list has been read at least once.
    [[nodiscard]] auto isLoaded() const -> bool;

    /// \brief Time at which the last read was sent that returned all entries; nothing before the first one.
    [[nodiscard]] auto confirmedAt() const -> std::optional<core::monotonic_time>;

    /// \brief All readable entries, by identifier.
    [[nodiscard]] auto entries() const -> std::span<const jobs::worker_entry>;

    /// \brief Offset after the last record that was read.
    [[nodiscard]] auto offset() const -> std::uint64_t;

private:
    auto makeHooks(std::function<core::duration()> pause) -> follower_hooks;
    auto applyRecord(const store::stored_record &record) -> void;
    auto positionOf(std::string_view id) -> std::vector<jobs::worker_entry>::iterator;
    auto addOrReplace(jobs::worker_entry entry) -> void;
    auto remove(std::string_view id) -> void;

    observe::logger &m_log;
    worker_decoder m_decode;
    std::function<void()> m_onRead;
    std::vector<jobs::worker_entry> m_entries; ///< Sorted by identifier.
    bool m_loaded = false;
    keyed_follower m_follower;
};
} // namespace poplarpass::host
