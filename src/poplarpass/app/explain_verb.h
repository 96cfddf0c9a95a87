#pragma once

#include <iosfwd>
#include <string_view>

namespace poplarpass::app
{
/// \brief Prints what the logs on \p in say of one job, in order of time, with gaps named.
/// \param job identifier of the job
/// \returns number of lines that concern the job
auto explainJob(std::string_view job, std::istream &in, std::ostream &out) -> std::size_t;
} // namespace poplarpass::app
