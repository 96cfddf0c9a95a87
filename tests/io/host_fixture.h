#pragma once

#include "fakes/stepped_time.h"

#include <poplarpass/host/pool_owner.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// In-memory store and logger options for tests of poplarpass::host.
namespace tests
{
namespace core = poplarpass::core;
namespace host = poplarpass::host;
namespace jobs = poplarpass::jobs;
namespace store = poplarpass::store;

/// \brief Duration of a simulated call.
inline constexpr core::duration callTime = std::chrono::milliseconds{4};

/// \brief Options of a logger that discards its output.
inline auto discardingLoggerOptions() -> poplarpass::observe::logger_options
{
    poplarpass::observe::logger_options options;
    options.sink = [](poplarpass::observe::log_level, std::string_view) {
    };
    return options;
}

/// \brief In-memory store with the fencing rules and the size limits of the platform's store; appends can be paused.
class memory_store
{
public:
    explicit memory_store(fakes::stepped_time &time)
        : m_time{time}
    {
    }

    /// \brief Calls of the store for one process.
    auto calls() -> store::record_store
    {
        store::record_store made;
        made.append = [this](store::record_append request, std::function<void(store::append_result)> done) {
            ++appends;
            if (appendsPaused) {
                pausedAppends.push_back([this, request, done] { done(applyAppend(request)); });
                return;
            }
            m_time.after(callTime, [this, request = std::move(request), done = std::move(done)] {
                const auto result = applyAppend(request);
                done(loseResponses ? store::append_result{} : result);
            });
        };
        made.read = [this](store::topic topic, std::uint64_t from, std::chrono::milliseconds,
                           std::function<void(store::read_result)> done) {
            m_time.after(callTime, [this, topic, from, done = std::move(done)] {
                done(topic == unreadableTopic ? store::read_result{} : read(topic, from));
            });
        };
        made.newest = [this](store::topic topic, std::function<void(store::newest_result)> done) {
            m_time.after(callTime, [this, topic, done = std::move(done)] { done(newest(topic)); });
        };
        return made;
    }

    /// \brief Applies the paused appends and resumes normal operation.
    auto resumeAppends() -> void
    {
        appendsPaused = false;
        auto waiting = std::exchange(pausedAppends, {});
        for (const auto &call : waiting) {
            call();
        }
    }

    /// \brief Appends a record as a worker or the operator would.
    auto put(store::topic topic, const std::string &key, const std::string &value) -> void
    {
        auto &records = m_topics[topic];
        records.push_back({records.size(), key, value});
    }

    /// \brief Records of \p topic.
    auto records(store::topic topic) -> const std::vector<store::stored_record> &
    {
        return m_topics[topic];
    }

    std::size_t appends = 0; ///< Number of appends requested.
    std::size_t rejectedAppends = 0; ///< Number of appends rejected for their size.
    bool appendsPaused = false; ///< Whether appends are held back until resumeAppends().
    std::optional<store::topic> unreadableTopic; ///< Topic whose reads fail.
    bool loseResponses = false; ///< Whether appends are applied but reported as unknown.
    std::vector<std::function<void()>> pausedAppends; ///< Appends held back.

private:
    struct writer
    {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        store::append_result last;
    };

    static auto isTooLarge(const store::record_append &request) -> bool
    {
        const store::size_limits limits;
        std::size_t bytes = 0;
        for (const auto &record : request.keyedRecords) {
            const auto size = 1 + record.key.size() + record.value.size();
            if (size > limits.recordBytes) {
                return true;
            }
            bytes += size;
        }
        return bytes > limits.callBytes;
    }

    auto applyAppend(const store::record_append &request) -> store::append_result
    {
        if (isTooLarge(request)) {
            ++rejectedAppends;
            return {store::append_outcome::rejected, 0, 0};
        }
        auto &records = m_topics[request.to];
        auto &lastWriter = m_writers[request.to];
        if (request.fence) {
            if (request.fence->epoch < lastWriter.epoch) {
                return {store::append_outcome::fenced, 0, 0};
            }
            if (request.fence->epoch == lastWriter.epoch && request.fence->sequence + 1 == lastWriter.next) {
                return lastWriter.last;
            }
            if (request.fence->epoch == lastWriter.epoch && request.fence->sequence != lastWriter.next) {
                return {store::append_outcome::out_of_sequence, 0, 0};
            }
        }
        if (request.expectedEnd && *request.expectedEnd != records.size()) {
            return {store::append_outcome::conflict, 0, records.size()};
        }
        const store::append_result result{store::append_outcome::appended, records.size(), 0};
        for (const auto &value : request.records) {
            records.push_back({records.size(), {}, value});
        }
        for (const auto &record : request.keyedRecords) {
            records.push_back({records.size(), record.key, record.value});
        }
        if (request.fence) {
            lastWriter = {request.fence->epoch, request.fence->sequence + 1, result};
        }
        return result;
    }

    auto read(store::topic topic, std::uint64_t from) -> store::read_result
    {
        const auto &records = m_topics[topic];
        store::read_result result;
        result.outcome = store::read_outcome::read;
        result.endOffset = records.size();
        for (auto offset = from; offset < records.size(); ++offset) {
            result.records.push_back(records[offset]);
        }
        return result;
    }

    auto newest(store::topic topic) -> store::newest_result
    {
        std::map<std::string, store::stored_record> byKey;
        for (const auto &record : m_topics[topic]) {
            byKey[record.key] = record;
        }
        store::newest_result result;
        result.complete = true;
        result.endOffset = m_topics[topic].size();
        for (const auto &[key, record] : byKey) {
            if (!record.value.empty()) {
                result.records.push_back(record);
            }
        }
        return result;
    }

    fakes::stepped_time &m_time;
    std::map<store::topic, std::vector<store::stored_record>> m_topics;
    std::map<store::topic, writer> m_writers;
};

} // namespace tests
