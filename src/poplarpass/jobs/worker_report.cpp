#include <poplarpass/jobs/worker_report.h>

#include <array>

namespace poplarpass::jobs
{
auto nameOf(run_start_answer answer) -> std::string_view
{
    static constexpr std::array<std::string_view, 11> names{"started",        "fenced",      "superseded", "too_late",
                                                            "no_room",        "no_ticket",   "malformed",  "unhealthy",
                                                            "other_instance", "unreachable", "no_answer"};
    return names.at(static_cast<std::size_t>(answer));
}

auto nameOf(stop_answer answer) -> std::string_view
{
    static constexpr std::array<std::string_view, 4> names{"stopped", "fenced", "other_instance", "no_answer"};
    return names.at(static_cast<std::size_t>(answer));
}
} // namespace poplarpass::jobs
