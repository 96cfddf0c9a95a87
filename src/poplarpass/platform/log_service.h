#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace poplarpass::platform
{
/// \brief Position of a record in the log; the first record has offset 1, offset 0 is "before the first".
using log_offset = std::uint64_t;

/// \brief One record as the log service keeps it.
struct log_entry
{
    log_offset offset = 0; ///< Its position.
    core::record_id id; ///< Chosen by the writer; the service does not look for doubles.
    std::string payload; ///< Opaque bytes.
};

/// \brief One answer to a read.
struct log_page
{
    std::vector<log_entry> entries; ///< Records from the offset that was asked for, in order, possibly none.
    log_offset firstOffset = 1; ///< Oldest offset that the log still holds.
    log_offset nextOffset = 1; ///< Offset that the next appended record will get.
};

/// \brief The platform's log service. Another adapter can take its place without a change to a decision.
///
/// Completion handlers are called exactly once, from the process's event loop, never from inside the call.
struct log_service
{
    /// \brief Appends one record; a failure log_unavailable leaves open whether it took effect.
    std::function<void(core::record_id, std::string payload, std::function<void(core::result<log_offset>)>)> append;

    /// \brief Reads from an offset on; waits up to the given time when there is nothing to read.
    /// Fails with log_unavailable, or with log_trimmed when the offset is older than firstOffset.
    std::function<void(log_offset from, core::duration wait, std::function<void(core::result<log_page>)>)> read;
};
} // namespace poplarpass::platform
