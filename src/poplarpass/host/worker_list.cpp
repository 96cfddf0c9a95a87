#include <poplarpass/host/worker_list.h>

#include <algorithm>
#include <utility>

namespace poplarpass::host
{
worker_list::worker_list(const core::time_source &time, const store::record_store &records, observe::logger &log,
                         worker_decoder decode, std::function<void()> onRead, std::function<core::duration()> pause)
    : m_log{log}
    , m_decode{std::move(decode)}
    , m_onRead{std::move(onRead)}
    , m_follower{time,
                 records,
                 log,
                 {store::topic::worker_records, "workers", "workers_as_known", {}},
                 makeHooks(std::move(pause))}
{
}

auto worker_list::makeHooks(std::function<core::duration()> pause) -> follower_hooks
{
    follower_hooks hooks;
    hooks.onRestart = [this] {
        m_entries.clear();
    };
    hooks.onRecord = [this](const store::stored_record &record) {
        applyRecord(record);
    };
    hooks.onCaughtUp = [this] {
        m_loaded = true;
        m_onRead();
    };
    hooks.pause = std::move(pause);
    return hooks;
}

auto worker_list::start() -> void
{
    m_follower.start();
}

// A worker with an unreadable entry is removed: it must not be used under its previous entry.
auto worker_list::applyRecord(const store::stored_record &record) -> void
{
    if (record.value.empty()) {
        remove(record.key);
        return;
    }
    auto entry = m_decode(record.key, record.value);
    if (entry) {
        addOrReplace(std::move(*entry));
        return;
    }
    remove(record.key);
    m_log.log(observe::log_level::warning, "worker_entry_unreadable",
              {{"worker", record.key}, {"offset", record.offset}, {"detail", entry.error().detail}});
}

auto worker_list::positionOf(std::string_view id) -> std::vector<jobs::worker_entry>::iterator
{
    return std::ranges::lower_bound(m_entries, id, {},
                                    [](const jobs::worker_entry &entry) { return std::string_view{entry.id.str()}; });
}

auto worker_list::addOrReplace(jobs::worker_entry entry) -> void
{
    const auto position = positionOf(entry.id.str());
    if (position != m_entries.end() && position->id == entry.id) {
        *position = std::move(entry);
    } else {
        m_entries.insert(position, std::move(entry));
    }
}

auto worker_list::remove(std::string_view id) -> void
{
    const auto position = positionOf(id);
    if (position != m_entries.end() && position->id.str() == id) {
        m_entries.erase(position);
    }
}

auto worker_list::isLoaded() const -> bool
{
    return m_loaded;
}

auto worker_list::confirmedAt() const -> std::optional<core::monotonic_time>
{
    return m_follower.confirmedAt();
}

auto worker_list::entries() const -> std::span<const jobs::worker_entry>
{
    return m_entries;
}

auto worker_list::offset() const -> std::uint64_t
{
    return m_follower.offset();
}
} // namespace poplarpass::host
