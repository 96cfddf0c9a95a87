#include <poplarpass/jobs/progress_text.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <optional>
#include <span>
#include <utility>
#include <vector>

// Format: one line of fields separated by spaces: the job's phase, whether it was started, and for each task that is
// not in its initial state: position phase run failed-count failed... incarnation worker-length:worker
// checkpoint-length:checkpoint. Then, if workers crashed under tasks, a mark, and for each such task: position and the
// numbers of its crash_record. Such numbers with only the last one above zero do not occur, so they stand for a
// mark: a start order of the task may still be carried out. The crashes of the task follow, and replace the mark for an
// owner that does not know it. The text of some tasks only has the same form without the first two fields.
namespace poplarpass::jobs
{
namespace
{
constexpr char endMark = 'e';
constexpr std::string_view crashMark = "c ";
/// \brief Stands for a start order that may still be carried out.
constexpr crash_record openStartMark{0, 0, 0, 1};

class text_reader
{
public:
    explicit text_reader(std::string_view text)
        : m_rest{text}
    {
    }

    [[nodiscard]] auto atEnd() const -> bool
    {
        return m_rest.empty();
    }

    /// \brief Skips \p mark.
    /// \returns whether it came next
    auto skip(std::string_view mark) -> bool
    {
        const bool comesNext = m_rest.starts_with(mark);
        m_rest.remove_prefix(comesNext ? mark.size() : 0);
        return comesNext;
    }

    template <class number_type>
    auto number(char separator = ' ') -> std::optional<number_type>
    {
        number_type value{};
        const auto [end, problem] = std::from_chars(m_rest.data(), m_rest.data() + m_rest.size(), value);
        const auto used = static_cast<std::size_t>(end - m_rest.data());
        if (problem != std::errc{} || used >= m_rest.size() || m_rest[used] != separator) {
            return std::nullopt;
        }
        m_rest.remove_prefix(used + 1);
        return value;
    }

    auto text() -> std::optional<std::string>
    {
        const auto length = number<std::size_t>(':');
        if (!length || m_rest.size() <= *length || m_rest[*length] != ' ') {
            return std::nullopt;
        }
        std::string value{m_rest.substr(0, *length)};
        m_rest.remove_prefix(*length + 1);
        return value;
    }

private:
    std::string_view m_rest;
};

auto append(std::string &out, std::int64_t number) -> void
{
    out += std::to_string(number);
    out += ' ';
}

auto append(std::string &out, std::string_view text) -> void
{
    out += std::to_string(text.size());
    out += ':';
    out += text;
    out += ' ';
}

auto isInitialState(const task_record &state) -> bool
{
    return state.phase == task_phase::waiting && state.run == 0 && state.failedRuns.empty();
}

struct task_progress
{
    std::size_t position = 0;
    task_record state;
};

auto readTask(text_reader &in) -> std::optional<task_progress>
{
    const auto position = in.number<std::size_t>();
    const auto phase = in.number<int>();
    const auto run = in.number<std::uint32_t>();
    const auto failures = in.number<std::size_t>();
    std::vector<std::uint32_t> failedRuns;
    while (failures && failedRuns.size() < *failures) {
        const auto failed = in.number<std::uint32_t>();
        if (!failed) {
            return std::nullopt;
        }
        failedRuns.push_back(*failed);
    }
    const auto incarnation = in.number<std::int64_t>();
    auto worker = in.text();
    auto checkpoint = in.text();
    const bool complete = position && phase && run && failures && incarnation && worker && checkpoint;
    if (!complete || *phase < 0 || *phase > static_cast<int>(task_phase::done)) {
        return std::nullopt;
    }
    task_progress progress;
    progress.position = *position;
    progress.state.phase = static_cast<task_phase>(*phase);
    progress.state.run = *run;
    progress.state.failedRuns = std::move(failedRuns);
    progress.state.workerIncarnation = *incarnation;
    progress.state.worker = worker_id{std::move(*worker)};
    progress.state.checkpoint = std::move(*checkpoint);
    return progress;
}

auto readCrashes(text_reader &in, std::span<task_record> tasks) -> bool
{
    while (!in.atEnd()) {
        const auto position = in.number<std::size_t>();
        const auto atStart = in.number<std::uint32_t>();
        const auto later = in.number<std::uint32_t>();
        const auto alone = in.number<std::uint32_t>();
        const auto certain = in.number<std::uint32_t>();
        if (!position || !atStart || !later || !alone || !certain || *position >= tasks.size()) {
            return false;
        }
        const crash_record crashes{*atStart, *later, *alone, *certain};
        if (crashes == openStartMark) {
            // The time is not recorded; job_engine::restore() sets it.
            tasks[*position].startOpenUntil = core::monotonic_time::max();
        } else {
            tasks[*position].crashes = crashes;
        }
    }
    return true;
}

// Reads the state of tasks and then their crashes into tasks.
auto readTasks(text_reader &in, std::span<task_record> tasks) -> bool
{
    while (!in.atEnd() && !in.skip(crashMark)) {
        auto progress = readTask(in);
        if (!progress || progress->position >= tasks.size()) {
            return false;
        }
        tasks[progress->position] = std::move(progress->state);
    }
    return readCrashes(in, tasks);
}

struct job_progress
{
    multistep_job_phase phase = multistep_job_phase::active;
    bool started = false;
    std::vector<task_record> tasks;
};

auto readProgress(std::string_view text, std::size_t taskCount) -> std::optional<job_progress>
{
    text_reader in{text};
    const auto phase = in.number<int>();
    const auto started = in.number<int>();
    if (!phase || !started || *phase < 0 || *phase > static_cast<int>(multistep_job_phase::cancelled)) {
        return std::nullopt;
    }
    job_progress progress{static_cast<multistep_job_phase>(*phase), *started != 0, std::vector<task_record>(taskCount)};
    return readTasks(in, progress.tasks) ? std::optional{std::move(progress)} : std::nullopt;
}

// Adds to state what an owner that did not know its runs has learnt from workers: that the task is done, and failures.
auto addReportedEnds(task_record &state, const task_record &reported) -> void
{
    if (reported.phase == task_phase::done) {
        state.phase = task_phase::done;
    }
    for (const auto run : reported.failedRuns) {
        if (std::ranges::find(state.failedRuns, run) == state.failedRuns.end()) {
            state.failedRuns.push_back(run);
        }
    }
}

auto appendTask(std::string &out, std::size_t position, const task_record &state, std::size_t maxCheckpointBytes)
    -> void
{
    const bool done = state.phase == task_phase::done;
    const bool hasCheckpoint = !done && state.checkpoint.size() <= maxCheckpointBytes;
    append(out, static_cast<std::int64_t>(position));
    append(out, static_cast<std::int64_t>(state.phase));
    append(out, std::int64_t{state.run});
    append(out, static_cast<std::int64_t>(state.failedRuns.size()));
    for (const auto failed : state.failedRuns) {
        append(out, std::int64_t{failed});
    }
    append(out, done ? 0 : state.workerIncarnation);
    append(out, done && !state.isBoundToWorker() ? std::string_view{} : std::string_view{state.worker.str()});
    append(out, hasCheckpoint ? std::string_view{state.checkpoint} : std::string_view{});
}

auto append(std::string &out, std::size_t position, const crash_record &crashes) -> void
{
    append(out, static_cast<std::int64_t>(position));
    append(out, std::int64_t{crashes.atStart});
    append(out, std::int64_t{crashes.later});
    append(out, std::int64_t{crashes.alone});
    append(out, std::int64_t{crashes.certain});
}

auto appendCrashes(std::string &out, std::span<const task_record> tasks, std::size_t first) -> void
{
    bool hasEntries = false;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto &state = tasks[index];
        const bool hasOpenStart = state.isBoundToWorker();
        const bool hasCrashes = state.crashes != crash_record{} && state.phase != task_phase::done;
        if (!hasOpenStart && !hasCrashes) {
            continue;
        }
        out += std::exchange(hasEntries, true) ? std::string_view{} : crashMark;
        if (hasOpenStart) {
            append(out, first + index, openStartMark);
        }
        append(out, first + index, state.crashes);
    }
}

auto recount(multistep_job_record &job) -> void
{
    job.unfinished = 0;
    job.waiting = static_cast<std::uint32_t>(std::ranges::count(job.tasks, task_phase::waiting, &task_record::phase));
    std::size_t position = 0;
    std::size_t entry = 0;
    for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
        for (const auto &step : job.spec.steps) {
            std::uint32_t unfinished = 0;
            std::uint32_t waiting = 0;
            for (std::uint32_t index = 0; index < step.taskCount; ++index) {
                const auto phase = job.tasks[position++].phase;
                unfinished += phase == task_phase::done ? 0 : 1;
                waiting += phase == task_phase::waiting ? 1 : 0;
            }
            job.waitingTasks[entry] = waiting;
            job.unfinishedTasks[entry++] = unfinished;
            job.unfinished += unfinished;
        }
    }
}
} // namespace

auto encodeProgress(const multistep_job_record &job) -> std::string
{
    return encodePhase(job) + encodeTasks(job, 0, job.tasks.size(), std::string::npos);
}

auto encodePhase(const multistep_job_record &job) -> std::string
{
    std::string out;
    append(out, static_cast<std::int64_t>(job.phase));
    append(out, std::int64_t{job.started ? 1 : 0});
    return out;
}

auto encodeTasks(const multistep_job_record &job, std::size_t first, std::size_t count, std::size_t maxCheckpointBytes)
    -> std::string
{
    assert(first + count <= job.tasks.size());
    const auto tasks = std::span{job.tasks}.subspan(first, count);
    std::string out;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (!isInitialState(tasks[index])) {
            appendTask(out, first + index, tasks[index], maxCheckpointBytes);
        }
    }
    appendCrashes(out, tasks, first);
    return out;
}

auto encodeEnd(multistep_job_phase phase) -> std::string
{
    return endMark + std::to_string(static_cast<int>(phase));
}

auto decodeEnd(std::string_view text) -> std::optional<multistep_job_phase>
{
    if (text.size() != 2 || text[0] != endMark || text[1] <= '0' || text[1] > '3') {
        return std::nullopt;
    }
    return static_cast<multistep_job_phase>(text[1] - '0');
}

auto applyProgress(multistep_job_record &job, std::string_view text) -> bool
{
    return applyProgressParts(job, text, {});
}

auto applyProgressParts(multistep_job_record &job, std::string_view phaseText, std::span<const std::string_view> parts)
    -> bool
{
    auto progress = readProgress(phaseText, job.tasks.size());
    if (!progress) {
        return false;
    }
    if (!parts.empty()) {
        std::vector<task_record> tasks(job.tasks.size());
        for (const auto part : parts) {
            text_reader in{part};
            if (!readTasks(in, tasks)) {
                return false;
            }
        }
        for (std::size_t position = 0; position < tasks.size(); ++position) {
            addReportedEnds(tasks[position], progress->tasks[position]);
        }
        progress->tasks = std::move(tasks);
    }
    job.phase = progress->phase;
    job.started = progress->started;
    job.tasks = std::move(progress->tasks);
    recount(job);
    return true;
}
} // namespace poplarpass::jobs
