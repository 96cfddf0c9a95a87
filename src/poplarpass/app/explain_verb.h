#pragma once

#include <iosfwd>
#include <string_view>

namespace poplarpass::app
{
/// \brief Prints the log lines in \p in that concern one job, in order of time, with gaps marked, and a
/// summary: why the job was shown as failed, or which of its tasks have no run and why.
/// \param job identifier of the job
/// \returns the number of lines that concern the job
auto explainJob(std::string_view job, std::istream &in, std::ostream &out) -> std::size_t;
} // namespace poplarpass::app
