#pragma once

#include <poplarpass/app/command_line.h>
#include <poplarpass/app/fleet_log.h>
#include <poplarpass/app/process_runtime.h>

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace poplarpass::app
{
/// \brief Configuration revision that was read from the log.
struct logged_revision
{
    replication::log_offset offset = 0; ///< Offset in the log.
    replication::config_record record;
    replication::applied outcome; ///< Whether it was accepted.
};

/// \brief Short-lived reader and writer of the log for one operator verb.
class operator_session
{
public:
    /// \param file settings file of any process of the deployment
    operator_session(std::string_view file, console &streams);

    /// \brief Returns the exit code if the settings are invalid; the errors were printed.
    [[nodiscard]] auto failureCode() const -> std::optional<exit_code>;

    /// \brief Reads the log to its end.
    /// \returns false, with the reason printed, if this is not possible within 10 s
    auto readToEnd() -> bool;

    /// \brief Publishes \p change and waits for the outcome.
    auto publish(const core::record_id &id, const replication::record &change) -> replication::publish_outcome;

    /// \brief Returns the replicated state at the offset read so far.
    [[nodiscard]] auto state() const -> const replication::fleet_state &;

    /// \brief Returns the revisions read from the log.
    [[nodiscard]] auto revisions() const -> std::span<const logged_revision>;

    /// \brief Returns the runtime with the event loop and the platform clients.
    [[nodiscard]] auto process() -> process_runtime &;

    /// \brief Returns a new unique record id with the prefix \p what.
    auto makeRecordId(std::string_view what) -> core::record_id;

    /// \brief Runs the event loop until \p done returns true or \p limit has passed.
    /// \returns the last result of \p done
    auto runUntil(const std::function<bool()> &done, core::duration limit) -> bool;

private:
    console &m_streams;
    std::unique_ptr<process_runtime> m_process;
    std::unique_ptr<fleet_log> m_fleetLog;
    std::vector<logged_revision> m_revisions;
    bool m_atEnd = false;
};

/// \brief Opens a session with the settings of the option --config and reads the log to its end.
/// \returns the exit code of the verb, with the reason printed, if this fails
auto openSession(const parsed_options &options, console &streams)
    -> tl::expected<std::unique_ptr<operator_session>, exit_code>;
} // namespace poplarpass::app
