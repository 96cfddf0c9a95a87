#pragma once

#include "worker_types.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <vector>

namespace standins
{
/// \brief Record of the task starts that a worker accepted and refused; retained across its reboots and crashes.
class run_journal
{
public:
    /// \brief Records a start.
    /// \returns index of the run, for recordEnd()
    auto recordStart(run_record record) -> std::size_t;

    /// \brief Records the end of the run at \p index.
    auto recordEnd(std::size_t index, std::string_view outcome) -> void;

    /// \brief Records a refused start.
    auto recordRefusal(refusal_record record) -> void;

    [[nodiscard]] auto runs() const -> const std::vector<run_record> &;

    /// \brief Returns the journal as JSON: `runs`, `refused` (the first 20 000) and `refusals` (counts by reason).
    [[nodiscard]] auto toJson() const -> nlohmann::json;

private:
    std::vector<run_record> m_runs;
    std::vector<refusal_record> m_refused;
    std::map<std::string, std::uint64_t> m_refusalCounts;
};
} // namespace standins
