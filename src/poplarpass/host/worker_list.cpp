#include <poplarpass/host/worker_list.h>

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
    m_entries.erase(record.key);
    if (record.value.empty()) {
        return;
    }
    auto entry = m_decode(record.key, record.value);
    if (entry) {
        m_entries.emplace(record.key, std::move(*entry));
    } else {
        m_log.log(observe::log_level::warning, "worker_entry_unreadable",
                  {{"worker", record.key}, {"offset", record.offset}, {"detail", entry.error().detail}});
    }
}

auto worker_list::isLoaded() const -> bool
{
    return m_loaded;
}

auto worker_list::entries() const -> std::vector<jobs::worker_entry>
{
    std::vector<jobs::worker_entry> all;
    all.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        all.push_back(entry);
    }
    return all;
}

auto worker_list::offset() const -> std::uint64_t
{
    return m_follower.offset();
}
} // namespace poplarpass::host
