#pragma once

#include <poplarpass/core/time.h>

#include <string_view>

namespace poplarpass::platform
{
/// \brief Timeouts of requests to the platform.
inline constexpr core::duration logAppendTimeout = std::chrono::seconds{2};
inline constexpr core::duration logReadMargin = std::chrono::seconds{2}; ///< Added to the requested wait.
inline constexpr core::duration hostListTimeout = std::chrono::seconds{2};
inline constexpr core::duration leaseTimeout = std::chrono::seconds{1};
inline constexpr core::duration queryTimeout = std::chrono::seconds{2};
inline constexpr core::duration orderTimeout = std::chrono::seconds{2};

/// \brief Maximum number of records in the response to one read of the log.
inline constexpr int logPageRecords = 512;

/// \brief HTTP header fields of the platform; identifiers in their values are percent-encoded.
namespace headers
{
inline constexpr std::string_view recordId = "X-Record-Id";
inline constexpr std::string_view taskId = "X-Task-Id";
inline constexpr std::string_view attemptId = "X-Attempt-Id";
inline constexpr std::string_view leaseId = "X-Lease-Id";
inline constexpr std::string_view pool = "X-Pool";
inline constexpr std::string_view kind = "X-Kind";
inline constexpr std::string_view runTimeUs = "X-Run-Time-Us";
inline constexpr std::string_view cores = "X-Cores";
inline constexpr std::string_view memoryMb = "X-Memory-Mb";
inline constexpr std::string_view outcome = "X-Outcome";
inline constexpr std::string_view taskState = "X-Task-State";
inline constexpr std::string_view bootId = "X-Boot-Id";
inline constexpr std::string_view traceparent = "traceparent";
} // namespace headers
} // namespace poplarpass::platform
