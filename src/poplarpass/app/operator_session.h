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
/// \brief One revision as it went by on the log.
struct seen_revision
{
    replication::log_offset offset = 0; ///< Its offset.
    replication::config_record record; ///< The record.
    replication::applied outcome; ///< What became of it.
};

/// \brief A short-lived reader and writer of the log for one operator verb.
class operator_session
{
public:
    /// \param file settings file of any process of the deployment
    operator_session(std::string_view file, console &streams);

    /// \brief Settings problem that was printed, if any.
    [[nodiscard]] auto problem() const -> std::optional<exit_code>;

    /// \brief Reads the log to its end.
    /// \returns false, with the reason printed, when that is not possible within the time limit
    auto readToEnd() -> bool;

    /// \brief Publishes \p change and waits until it is known what became of it.
    auto publish(const core::record_id &id, const replication::record &change) -> replication::publish_outcome;

    /// \brief Agreed state as far as it was read.
    [[nodiscard]] auto state() const -> const replication::fleet_state &;

    /// \brief Revisions that went by while reading.
    [[nodiscard]] auto revisions() const -> std::span<const seen_revision>;

    /// \brief Process whose adapters it uses.
    [[nodiscard]] auto process() -> process_runtime &;

    /// \brief Unique record id of this call for \p what.
    auto makeRecordId(std::string_view what) -> core::record_id;

    /// \brief Runs the loop until \p done says so or the time limit passes.
    /// \returns what \p done said last
    auto runUntil(const std::function<bool()> &done, core::duration limit) -> bool;

private:
    console &m_streams;
    std::unique_ptr<process_runtime> m_process;
    std::unique_ptr<fleet_log> m_log;
    std::vector<seen_revision> m_revisions;
    bool m_atEnd = false;
};

/// \brief Opens a session by the option --config and reads the log to its end.
/// \returns how the verb ends, with the reason printed, when that is not possible
auto openSession(const parsed_options &options, console &streams)
    -> tl::expected<std::unique_ptr<operator_session>, exit_code>;
} // namespace poplarpass::app
