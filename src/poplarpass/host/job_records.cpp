#include <poplarpass/host/job_records.h>
#include <poplarpass/jobs/progress_text.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <string_view>
#include <utility>

// Keys: 'j' and the identifier of a job for its specification, 'p' and the identifier for its progress, 'q', the
// identifier, a dot and a number for a part of its progress.
//
// While the progress is stored in parts, the specification says so and the progress record holds only the phase. An
// owner may end between two appends, so the specification and the progress record change together, after the parts were
// stored and before they are removed. The parts need not change together: they hold separate tasks, and orders that
// depend on any of them are sent after the last.
namespace poplarpass::host
{
using codec::progress_layout;

namespace
{
constexpr char specPrefix = 'j';
constexpr char progressPrefix = 'p';
constexpr char partPrefix = 'q';
constexpr char partMark = '.';
constexpr char accountMark = ' ';
constexpr char unsubmittedMark = '\n';
/// \brief Tasks in one part of the progress of a job.
constexpr std::size_t tasksPerPart = 256;
/// \brief Longest checkpoint that is stored in a part, bytes; keeps parts within the store's limit.
constexpr std::size_t maxCheckpointBytes = 256;
/// \brief Parts become one record again when they take at most one over this number of its greatest size.
constexpr std::size_t mergeDivisor = 2;
/// \brief Digits of the number of a part, so that the keys of a job's parts are in order.
constexpr int partNumberDigits = 4;

auto specKey(const jobs::job_id &id) -> std::string
{
    return specPrefix + id.str();
}

auto progressKey(const jobs::job_id &id) -> std::string
{
    return progressPrefix + id.str();
}

auto partKey(const jobs::job_id &id, std::size_t number) -> std::string
{
    std::array<char, 24> digits{};
    const auto length = std::snprintf(digits.data(), digits.size(), "%0*zu", partNumberDigits, number);
    return partPrefix + id.str() + partMark + std::string(digits.data(), static_cast<std::size_t>(length));
}

// Returns the identifier of the job in the key of one of its records.
auto jobOfKey(std::string_view key) -> std::string
{
    key.remove_prefix(1);
    return std::string{key.substr(0, key.rfind(partMark))};
}

// The specification of a settled job is removed, so its account is kept with its end. An earlier build takes the mark
// of a job that was never submitted for a part of its account.
auto encodeEnd(const jobs::multistep_job_record &job) -> std::string
{
    auto text = jobs::encodeEnd(job.phase);
    if (!job.submitted) {
        return text + accountMark + job.account.str() + unsubmittedMark;
    }
    return job.account.empty() ? text : text + accountMark + job.account.str();
}

auto decodeEnd(const jobs::job_id &id, std::string_view text) -> std::optional<jobs::multistep_job_record>
{
    const bool isUnsubmitted = text.ends_with(unsubmittedMark);
    text.remove_suffix(isUnsubmitted ? 1 : 0);
    const auto mark = text.find(accountMark);
    const auto phase = jobs::decodeEnd(text.substr(0, mark));
    if (!phase) {
        return std::nullopt;
    }
    auto job = jobs::makeEndedJob(id, *phase);
    job.submitted = !isUnsubmitted;
    if (mark != std::string_view::npos) {
        job.account = jobs::account_id{std::string{text.substr(mark + 1)}};
    }
    return job;
}

/// \brief The records of one job.
struct job_record_set
{
    const store::stored_record *spec = nullptr;
    const store::stored_record *progress = nullptr;
    std::map<std::string, std::string_view> parts; ///< Values by key.
};

auto groupByJob(const store::newest_result &newest) -> std::unordered_map<std::string, job_record_set>
{
    std::unordered_map<std::string, job_record_set> sets;
    for (const auto &record : newest.records) {
        if (record.key.size() < 2) {
            continue;
        }
        if (record.key.front() == specPrefix) {
            sets[record.key.substr(1)].spec = &record;
        } else if (record.key.front() == progressPrefix) {
            sets[record.key.substr(1)].progress = &record;
        } else if (record.key.front() == partPrefix) {
            sets[jobOfKey(record.key)].parts.emplace(record.key, record.value);
        }
    }
    return sets;
}

auto applyRecords(jobs::multistep_job_record &job, progress_layout layout, const job_record_set &records) -> bool
{
    if (records.progress == nullptr) {
        return true;
    }
    std::vector<std::string_view> parts;
    if (layout == progress_layout::parts) {
        for (const auto &[key, value] : records.parts) {
            parts.push_back(value);
        }
    }
    return jobs::applyProgressParts(job, records.progress->value, parts);
}

auto restoreJob(const jobs::job_id &id, const job_record_set &records, observe::logger &log)
    -> std::optional<restored_job>
{
    if (records.progress != nullptr) {
        if (auto ended = decodeEnd(id, records.progress->value)) {
            return restored_job{std::move(*ended), progress_layout::one_record, {}};
        }
    }
    if (records.spec == nullptr) {
        return std::nullopt;
    }
    auto decoded = codec::decodeJob(id, records.spec->value);
    if (!decoded) {
        log.log(observe::log_level::error, "job_record_unreadable",
                {{"job", id.str()}, {"detail", decoded.error().detail}});
        return std::nullopt;
    }
    if (!applyRecords(decoded->job, decoded->layout, records)) {
        log.log(observe::log_level::error, "progress_record_unreadable", {{"job", id.str()}});
    }
    restored_job restored{std::move(decoded->job), decoded->layout, {}};
    if (restored.layout == progress_layout::parts) {
        for (const auto &[key, value] : records.parts) {
            restored.partKeys.push_back(key);
        }
    }
    return restored;
}

// Parts of tasks that never had a run are left out: a record without a value removes its key.
auto encodeParts(const jobs::multistep_job_record &job) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> parts;
    for (std::size_t first = 0; first < job.tasks.size(); first += tasksPerPart) {
        const auto count = std::min(tasksPerPart, job.tasks.size() - first);
        auto text = jobs::encodeTasks(job, first, count, maxCheckpointBytes);
        if (!text.empty()) {
            parts.emplace(partKey(job.id, first / tasksPerPart), std::move(text));
        }
    }
    return parts;
}

auto removalOfParts(const std::map<std::string, std::string> &parts) -> record_group
{
    record_group removal;
    for (const auto &[key, text] : parts) {
        removal.push_back({key, {}});
    }
    return removal;
}
} // namespace

job_records::job_records(store::size_limits limits, layout_hook onLayoutChange)
    : m_limits{limits}
    , m_onLayoutChange{std::move(onLayoutChange)}
{
}

auto job_records::canStore(const jobs::multistep_job_record &job) const -> bool
{
    const auto limit = maxValueBytes(specKey(job.id));
    return codec::maxEncodedBytes(job) <= limit || codec::encodeJob(job, progress_layout::parts).size() <= limit;
}

auto job_records::update(const jobs::multistep_job_record &job) -> std::vector<record_group>
{
    if (job.isSettled()) {
        return endRecords(job);
    }
    auto &stored = m_stored[job.id.str()];
    if (stored.layout == progress_layout::parts) {
        return partRecords(job, stored);
    }
    auto progress = jobs::encodeProgress(job);
    if (progress.size() > maxValueBytes(progressKey(job.id))) {
        return partRecords(job, stored);
    }
    record_group whole;
    if (!std::exchange(stored.hasSpec, true)) {
        whole.push_back({specKey(job.id), codec::encodeJob(job)});
    }
    whole.push_back({progressKey(job.id), std::move(progress)});
    return {std::move(whole)};
}

auto job_records::removalOf(const jobs::job_id &id) -> record_group
{
    m_stored.erase(id.str());
    return {{specKey(id), {}}, {progressKey(id), {}}};
}

auto job_records::markStored(const restored_job &restored) -> void
{
    auto &stored = m_stored[restored.job.id.str()];
    stored.hasSpec = true;
    stored.layout = restored.layout;
    for (const auto &key : restored.partKeys) {
        stored.parts.emplace(key, std::string{});
    }
}

auto job_records::endRecords(const jobs::multistep_job_record &job) -> std::vector<record_group>
{
    record_group end{{progressKey(job.id), encodeEnd(job)}};
    const auto stored = m_stored.extract(job.id.str());
    if (!stored) {
        return {std::move(end)};
    }
    if (stored.mapped().hasSpec) {
        end.push_back({specKey(job.id), {}});
    }
    return {std::move(end), removalOfParts(stored.mapped().parts)};
}

auto job_records::partRecords(const jobs::multistep_job_record &job, stored_job &stored) const
    -> std::vector<record_group>
{
    auto parts = encodeParts(job);
    if (stored.layout == progress_layout::parts) {
        if (auto merged = mergedRecords(job, stored, parts)) {
            return std::move(*merged);
        }
    }
    std::vector<record_group> groups;
    for (const auto &[key, text] : parts) {
        const auto known = stored.parts.extract(key);
        if (!known || known.mapped() != text) {
            groups.push_back({{key, text}});
        }
    }
    groups.push_back(headRecords(job, stored));
    groups.push_back(removalOfParts(stored.parts));
    stored.parts = std::move(parts);
    return groups;
}

auto job_records::headRecords(const jobs::multistep_job_record &job, stored_job &stored) const -> record_group
{
    record_group head;
    if (std::exchange(stored.layout, progress_layout::parts) != progress_layout::parts) {
        stored.hasSpec = true;
        head.push_back({specKey(job.id), codec::encodeJob(job, progress_layout::parts)});
        m_onLayoutChange(job, progress_layout::parts);
    }
    auto phase = jobs::encodePhase(job);
    if (stored.phase != phase) {
        head.push_back({progressKey(job.id), phase});
        stored.phase = std::move(phase);
    }
    return head;
}

// Well below the limit, so that the layout does not change back soon.
auto job_records::mergedRecords(const jobs::multistep_job_record &job, stored_job &stored,
                                const std::map<std::string, std::string> &parts) const
    -> std::optional<std::vector<record_group>>
{
    const auto limit = maxValueBytes(progressKey(job.id)) / mergeDivisor;
    std::size_t bytes = 0;
    for (const auto &[key, text] : parts) {
        bytes += text.size();
    }
    if (bytes > limit) {
        return std::nullopt;
    }
    // The parts lack long checkpoints.
    auto progress = jobs::encodeProgress(job);
    if (progress.size() > limit) {
        return std::nullopt;
    }
    record_group whole{{specKey(job.id), codec::encodeJob(job)}, {progressKey(job.id), std::move(progress)}};
    auto removal = removalOfParts(stored.parts);
    stored = {};
    stored.hasSpec = true;
    m_onLayoutChange(job, progress_layout::one_record);
    return std::vector<record_group>{std::move(whole), std::move(removal)};
}

// The content of a record begins with the length of its key, in one byte.
auto job_records::maxValueBytes(const std::string &key) const -> std::size_t
{
    const auto overhead = key.size() + 1;
    return m_limits.recordBytes > overhead ? m_limits.recordBytes - overhead : 0;
}

auto restoreJobs(const store::newest_result &newest, observe::logger &log) -> restored_jobs
{
    restored_jobs restored;
    for (const auto &[id, records] : groupByJob(newest)) {
        auto job = restoreJob(jobs::job_id{id}, records, log);
        const bool isUnreadable = !job && records.spec != nullptr;
        const bool usesParts = job && job->layout == progress_layout::parts;
        if (!isUnreadable && !usesParts) {
            for (const auto &[key, value] : records.parts) {
                restored.unusedKeys.push_back(key);
            }
        }
        if (job) {
            restored.jobs.push_back(std::move(*job));
        }
    }
    return restored;
}
} // namespace poplarpass::host
