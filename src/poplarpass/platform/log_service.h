#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace poplarpass::platform
{
/// \brief Position of a record in the log; the first record has offset 1, offset 0 is the position before it.
using log_offset = std::uint64_t;

/// \brief One record of the log.
struct log_entry
{
    log_offset offset = 0;
    core::record_id id; ///< Chosen by the writer; the service does not detect duplicates.
    std::string payload; ///< Opaque bytes.
};

/// \brief Result of one read.
struct log_page
{
    std::vector<log_entry> entries; ///< Records from the requested offset on, in order; can be empty.
    log_offset firstOffset = 1; ///< Oldest offset that is still stored.
    log_offset nextOffset = 1; ///< Offset of the next record to be appended.
};

/// \brief The platform's log service; an adapter can be replaced without changes to the decision code.
///
/// A completion handler is called exactly once, from the event loop, never from inside the call.
struct log_service
{
    /// \brief Appends one record; after the failure log_unavailable it is unknown whether the record was appended.
    std::function<void(core::record_id, std::string payload, std::function<void(core::result<log_offset>)>)> append;

    /// \brief Reads records from an offset on; waits up to the given time if there are none.
    ///
    /// Fails with log_unavailable, or with log_trimmed when the offset is before firstOffset.
    std::function<void(log_offset from, core::duration wait, std::function<void(core::result<log_page>)>)> read;
};
} // namespace poplarpass::platform
