#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The product's view of the store in which everything lies that has to last.
namespace poplarpass::store
{
/// \brief Logs of records that the system reads or writes.
enum class topic : std::uint8_t {
    ownership, ///< Who owns the pools; written under a condition.
    jobs, ///< Jobs and their progress; the newest record of each key stays.
    hosts, ///< Hosts of the system; the newest record of each key stays.
    operator_records, ///< Configuration and waves, written by the operator.
    worker_records, ///< What workers say of themselves.
    status_records, ///< What the system tells the operator.
};

/// \brief A record of a topic in which the newest record of each key stays.
struct keyed_record
{
    std::string key; ///< Its key.
    std::string value; ///< Its content; empty to remove the key.
};

/// \brief Position of one writer among all appends to a topic.
struct writer_fence
{
    std::uint64_t epoch = 0; ///< Greater for each owner; a lower one is refused.
    std::uint64_t sequence = 0; ///< Number of the append within the epoch, from 0.
};

/// \brief Records to append, all or none.
struct append_request
{
    topic to = topic::jobs; ///< Where.
    std::vector<std::string> records; ///< Contents; empty only to set the epoch.
    std::vector<keyed_record> keyedRecords; ///< The same for a keyed topic.
    std::optional<std::uint64_t> expectedEnd; ///< Append only if the topic ends at this offset.
    std::optional<writer_fence> fence; ///< Append only as this writer.
};

/// \brief What became of an append.
enum class append_outcome : std::uint8_t {
    appended, ///< The records are stored.
    conflict, ///< The topic did not end at the expected offset; nothing was appended.
    fenced, ///< A writer with a greater epoch is known; nothing was appended.
    out_of_sequence, ///< The sequence number did not follow; nothing was appended.
    refused, ///< Nothing was appended; a repeat may succeed.
    unknown, ///< No answer; it may have been carried out, or will be.
};

/// \brief Name of \p outcome in logs and metrics.
constexpr auto nameOf(append_outcome outcome) -> std::string_view
{
    constexpr std::array<std::string_view, 6> names{"appended",        "conflict", "fenced",
                                                    "out_of_sequence", "refused",  "no_answer"};
    return names.at(static_cast<std::size_t>(outcome));
}

/// \brief Answer to an append.
struct append_result
{
    append_outcome outcome = append_outcome::unknown; ///< What became of it.
    std::uint64_t offset = 0; ///< Offset of the first record, if appended.
    std::uint64_t endOffset = 0; ///< End of the topic, if appended or in conflict.
};

/// \brief A record as read.
struct stored_record
{
    std::uint64_t offset = 0; ///< Its position.
    std::string key; ///< Its key, in a keyed topic.
    std::string value; ///< Its content.
};

/// \brief What became of a read.
enum class read_outcome : std::uint8_t {
    read, ///< Records follow; there may be none.
    expired, ///< The records asked for are gone; go on from firstOffset, or read the newest of each key.
    failed, ///< The store did not answer.
};

/// \brief Name of \p outcome in logs and metrics.
constexpr auto nameOf(read_outcome outcome) -> std::string_view
{
    constexpr std::array<std::string_view, 3> names{"read", "expired", "failed"};
    return names.at(static_cast<std::size_t>(outcome));
}

/// \brief Answer to a read.
struct read_result
{
    read_outcome outcome = read_outcome::failed; ///< What became of it.
    std::uint64_t endOffset = 0; ///< End of the topic.
    std::uint64_t firstOffset = 0; ///< First record that is kept.
    std::vector<stored_record> records; ///< Records in order.
};

/// \brief Newest record of each key.
struct newest_result
{
    bool complete = false; ///< Whether all keys were read; if not, nothing is known.
    std::uint64_t endOffset = 0; ///< Read on from here for later changes.
    std::vector<stored_record> records; ///< One record a key.
};

/// \brief Calls of the store; completions run on the event loop.
struct record_store
{
    /// \brief Appends records.
    std::function<void(append_request, std::function<void(append_result)>)> append;
    /// \brief Reads from an offset; waits for a record for at most the given time.
    std::function<void(topic, std::uint64_t, std::chrono::milliseconds, std::function<void(read_result)>)> read;
    /// \brief Reads the newest record of each key.
    std::function<void(topic, std::function<void(newest_result)>)> newest;
};
} // namespace poplarpass::store
