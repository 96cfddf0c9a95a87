#pragma once

#include "worker_types.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <vector>

namespace standins
{
/// \brief Evidence of what a worker started and refused; it outlives reboots and crashes.
class run_journal
{
public:
    /// \brief Notes a start.
    /// \returns its place, for end()
    auto recordStart(run_record record) -> std::size_t;

    /// \brief Notes the end of the run at \p index.
    auto recordEnd(std::size_t index, std::string_view outcome) -> void;

    /// \brief Notes a refused start.
    auto recordRefusal(refusal_record record) -> void;

    /// \brief Runs so far.
    [[nodiscard]] auto runs() const -> const std::vector<run_record> &;

    /// \brief Everything as JSON: `runs`, `refused` (the first of them), `refusals` by reason.
    [[nodiscard]] auto toJson() const -> nlohmann::json;

private:
    std::vector<run_record> m_runs;
    std::vector<refusal_record> m_refused;
    std::map<std::string, std::uint64_t> m_refusalCounts;
};
} // namespace standins
