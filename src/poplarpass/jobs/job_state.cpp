#include <poplarpass/core/parse_integer.h>
#include <poplarpass/jobs/job_state.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace poplarpass::jobs
{
namespace
{
constexpr double fullPercent = 100.0;

/// \brief Removes the last part of a name and the dot before it.
/// \returns the part as a number; nothing when it is not one
auto takeLastNumber(std::string_view &name) -> std::optional<std::uint32_t>
{
    const auto dot = name.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = core::parseInteger<std::uint32_t>(name.substr(dot + 1));
    name = name.substr(0, dot);
    return number;
}
} // namespace

auto multistep_job_record::positionOf(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) const
    -> std::size_t
{
    assert(step + 1 < stepOffsets.size());
    return std::size_t{occurrence} * stepOffsets.back() + stepOffsets[step] + index;
}

auto multistep_job_record::isSettled() const -> bool
{
    return phase != multistep_job_phase::active && std::ranges::none_of(tasks, [](const task_record &task) {
               const bool mayRun = task.phase != task_phase::waiting && task.phase != task_phase::done;
               return mayRun || task.isBoundToWorker();
           });
}

auto multistep_job_record::has(const task_ref &task) const -> bool
{
    return task.occurrence < spec.occurrences() && task.step < spec.steps.size()
        && task.index < spec.steps[task.step].taskCount;
}

auto multistep_job_record::unfinishedOf(std::uint32_t occurrence, std::uint32_t step) const -> std::uint32_t
{
    return unfinishedTasks[std::size_t{occurrence} * spec.steps.size() + step];
}

auto multistep_job_record::waitingOf(std::uint32_t occurrence, std::uint32_t step) const -> std::uint32_t
{
    return waitingTasks[std::size_t{occurrence} * spec.steps.size() + step];
}

auto multistep_job_record::areDependenciesDone(std::uint32_t occurrence, std::uint32_t step) const -> bool
{
    return std::ranges::all_of(spec.steps[step].after,
                               [&](std::uint32_t before) { return unfinishedOf(occurrence, before) == 0; });
}

auto multistep_job_record::forEachStartableStep(
    core::wall_time now, const std::function<bool(std::uint32_t occurrence, std::uint32_t step)> &visit) const -> void
{
    for (std::uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
        if (spec.repeatCount > 0 && dueTime(occurrence) > now) {
            return;
        }
        for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
            const bool mayStart = unfinishedOf(occurrence, step) > 0 && areDependenciesDone(occurrence, step);
            if (mayStart && !visit(occurrence, step)) {
                return;
            }
        }
    }
}

auto multistep_job_record::dueTime(std::uint32_t occurrence) const -> core::wall_time
{
    return spec.repeatCount == 0 ? acceptedAt : spec.firstDue + spec.interval * occurrence;
}

auto taskCountOf(const multistep_job_spec &spec) -> std::uint64_t
{
    std::uint64_t tasks = 0;
    for (const auto &step : spec.steps) {
        tasks += step.taskCount;
    }
    return tasks * spec.occurrences();
}

auto isValidSpec(const multistep_job_spec &spec) -> bool
{
    std::uint64_t tasks = 0;
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        const auto &entry = spec.steps[step];
        const bool ordered = std::ranges::all_of(entry.after, [step](std::uint32_t before) { return before < step; });
        if (entry.taskCount == 0 || !ordered) {
            return false;
        }
        tasks += entry.taskCount;
    }
    return tasks > 0 && tasks <= maxTasksOfJob && taskCountOf(spec) <= maxTasksOfJob;
}

auto makeJob(job_id id, queue_policy queue, multistep_job_spec spec, core::wall_time acceptedAt) -> multistep_job_record
{
    multistep_job_record job;
    job.id = std::move(id);
    job.queue = std::move(queue);
    job.spec = std::move(spec);
    job.acceptedAt = acceptedAt;
    std::uint32_t perOccurrence = 0;
    for (const auto &step : job.spec.steps) {
        job.stepOffsets.push_back(perOccurrence);
        perOccurrence += step.taskCount;
    }
    job.stepOffsets.push_back(perOccurrence);
    const auto occurrences = job.spec.occurrences();
    job.unfinished = perOccurrence * occurrences;
    job.waiting = job.unfinished;
    job.tasks.resize(job.unfinished);
    for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
        for (const auto &step : job.spec.steps) {
            job.unfinishedTasks.push_back(step.taskCount);
        }
    }
    job.waitingTasks = job.unfinishedTasks;
    return job;
}

auto makeEndedJob(job_id id, multistep_job_phase phase) -> multistep_job_record
{
    multistep_job_record job;
    job.id = std::move(id);
    job.phase = phase;
    job.started = true;
    return job;
}

auto makeUnsubmittedJob(job_id id, account_id account) -> multistep_job_record
{
    auto job = makeEndedJob(std::move(id), multistep_job_phase::cancelled);
    job.account = std::move(account);
    job.submitted = false;
    job.started = false;
    return job;
}

auto stepNameOf(const task_ref &task) -> std::string
{
    return task.job.str() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

auto nameOf(const task_ref &task) -> std::string
{
    return stepNameOf(task) + "." + std::to_string(task.index);
}

auto parseTaskName(std::string_view text) -> std::optional<task_ref>
{
    const auto index = takeLastNumber(text);
    const auto step = takeLastNumber(text);
    const auto occurrence = takeLastNumber(text);
    if (!occurrence || !step || !index || text.empty() || text.find('.') != std::string_view::npos) {
        return std::nullopt;
    }
    return task_ref{job_id{std::string{text}}, *occurrence, *step, *index};
}

auto forEachTask(const multistep_job_record &job, const std::function<void(const task_ref &, std::size_t)> &visit)
    -> void
{
    std::size_t position = 0;
    for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            for (std::uint32_t index = 0; index < job.spec.steps[step].taskCount; ++index) {
                visit(task_ref{job.id, occurrence, step, index}, position++);
            }
        }
    }
}

auto nameOf(multistep_job_phase phase) -> std::string_view
{
    static constexpr std::array<std::string_view, 4> names{"active", "completed", "failed", "cancelled"};
    return names.at(static_cast<std::size_t>(phase));
}

auto longestChain(const multistep_job_spec &spec,
                  const std::function<std::chrono::milliseconds(std::uint32_t)> &lengthOf) -> std::chrono::milliseconds
{
    std::vector<std::chrono::milliseconds> ends;
    std::chrono::milliseconds longest{0};
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        std::chrono::milliseconds start{0};
        for (const auto before : spec.steps[step].after) {
            start = std::max(start, ends[before]);
        }
        ends.push_back(start + lengthOf(step));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

auto remainingRunTime(const task_record &state) -> std::optional<core::duration>
{
    if (state.percent == 0) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration<double, std::micro>{state.reportedAt - state.acknowledgedAt};
    return std::chrono::duration_cast<core::duration>(age * ((fullPercent - state.percent) / state.percent));
}
} // namespace poplarpass::jobs
