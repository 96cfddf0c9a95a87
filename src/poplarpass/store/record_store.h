#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Interface to the store that holds all durable data.
namespace poplarpass::store
{
/// \brief Record logs that the system reads or writes.
enum class topic : std::uint8_t {
    ownership, ///< Current owner of the pools; written by conditional appends.
    jobs, ///< Jobs and their progress; compacted to the newest record of each key.
    hosts, ///< Hosts of the system; compacted to the newest record of each key.
    operator_records, ///< Configuration and waves, written by the operator.
    worker_records, ///< State of each worker, reported by the worker.
    status_records, ///< Status reports for the operator.
};

/// \brief Returns the name of \p topic in logs.
constexpr auto nameOf(topic topic) -> std::string_view
{
    constexpr std::array<std::string_view, 6> names{"ownership",        "jobs",           "hosts",
                                                    "operator_records", "worker_records", "status_records"};
    return names.at(static_cast<std::size_t>(topic));
}

/// \brief Record of a topic that is compacted to the newest record of each key.
struct keyed_record
{
    std::string key; ///< Record key.
    std::string value; ///< Record content; empty to remove the key.
};

/// \brief Epoch and sequence number with which a topic fences its writers.
struct writer_fence
{
    std::uint64_t epoch = 0; ///< Increases with each owner; appends with a lower epoch are refused.
    std::uint64_t sequence = 0; ///< Number of the append within the epoch, from 0.
};

/// \brief Records to append atomically.
struct record_append
{
    topic to = topic::jobs; ///< Target topic.
    std::vector<std::string> records; ///< Record contents; empty only to set the epoch.
    std::vector<keyed_record> keyedRecords; ///< Records for a compacted topic, in place of \p records.
    std::optional<std::uint64_t> expectedEnd; ///< If set, appends only when the topic ends at this offset.
    std::optional<writer_fence> fence; ///< If set, appends only when this epoch and sequence number are current.
};

/// \brief Outcome of an append.
enum class append_outcome : std::uint8_t {
    appended, ///< The records are stored.
    conflict, ///< The topic did not end at the expected offset; nothing was appended.
    fenced, ///< The topic has a writer with a greater epoch; nothing was appended.
    out_of_sequence, ///< The sequence number was not the next one; nothing was appended.
    refused, ///< Nothing was appended; a retry may succeed.
    rejected, ///< Nothing was appended, nor will be by a retry: the records are too large or malformed.
    unknown, ///< No answer; the append may have been executed, or may still be.
};

/// \brief Returns the name of \p outcome in logs and metrics.
constexpr auto nameOf(append_outcome outcome) -> std::string_view
{
    constexpr std::array<std::string_view, 7> names{"appended", "conflict", "fenced",   "out_of_sequence",
                                                    "refused",  "rejected", "no_answer"};
    return names.at(static_cast<std::size_t>(outcome));
}

/// \brief Answer to an append.
struct append_result
{
    append_outcome outcome = append_outcome::unknown; ///< Outcome.
    std::uint64_t offset = 0; ///< Offset of the first record, if appended.
    std::uint64_t endOffset = 0; ///< End of the topic, if appended or on conflict.
};

/// \brief Record read from a topic.
struct stored_record
{
    std::uint64_t offset = 0; ///< Offset in the topic.
    std::string key; ///< Record key, in a compacted topic.
    std::string value; ///< Record content.
};

/// \brief Outcome of a read.
enum class read_outcome : std::uint8_t {
    read, ///< The read succeeded; there may be no records.
    expired, ///< The requested records were trimmed; continue at firstOffset, or read the newest of each key.
    failed, ///< The store did not answer.
};

/// \brief Returns the name of \p outcome in logs and metrics.
constexpr auto nameOf(read_outcome outcome) -> std::string_view
{
    constexpr std::array<std::string_view, 3> names{"read", "expired", "failed"};
    return names.at(static_cast<std::size_t>(outcome));
}

/// \brief Answer to a read.
struct read_result
{
    read_outcome outcome = read_outcome::failed; ///< Outcome.
    std::uint64_t endOffset = 0; ///< End of the topic.
    std::uint64_t firstOffset = 0; ///< Offset of the first retained record.
    std::vector<stored_record> records; ///< Records by ascending offset.
};

/// \brief Newest record of each key of a topic.
struct newest_result
{
    bool complete = false; ///< Whether all keys were read; if false, the other members are not valid.
    std::uint64_t endOffset = 0; ///< Offset from which to read later changes.
    std::vector<stored_record> records; ///< One record per key.
    std::vector<std::string> unreadableKeys; ///< Keys of records that could not be decoded and are left out.
};

/// \brief Largest sizes that the store accepts, bytes.
struct size_limits
{
    std::size_t recordBytes = std::size_t{256} * 1024; ///< One record: the length of its key, the key and the value.
    std::size_t callBytes = std::size_t{2} * 1024 * 1024; ///< All records of one append.
};

/// \brief Asynchronous operations of the store; completions run on the event loop.
struct record_store
{
    size_limits limits; ///< Sizes that \p append accepts.
    /// \brief Appends records.
    std::function<void(record_append, std::function<void(append_result)>)> append;
    /// \brief Reads from an offset; waits at most the given time for a record.
    std::function<void(topic, std::uint64_t, std::chrono::milliseconds, std::function<void(read_result)>)> read;
    /// \brief Reads the newest record of each key.
    std::function<void(topic, std::function<void(newest_result)>)> newest;
};
} // namespace poplarpass::store
