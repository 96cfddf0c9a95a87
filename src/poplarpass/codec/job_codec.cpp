#include <poplarpass/codec/job_codec.h>

#include <nlohmann/json.hpp>

namespace poplarpass::codec
{
namespace
{
using nlohmann::json;

// 1 January 3000, in Unix milliseconds.
constexpr std::int64_t deferredDueMs = 32'503'680'000'000;

// Upper bounds on the encoded sizes without texts and lists: each number takes 9 bytes at most, each name of a field
// and each head of a text or list a few more.
constexpr std::size_t maxBytesOfJob = 512;
constexpr std::size_t maxBytesOfStep = 192;
constexpr std::size_t maxBytesOfDependency = 5;

auto encodeStep(const jobs::step_spec &step) -> json
{
    json out{
        {"n", step.taskCount},
        {"r", {step.perTask.cpu, step.perTask.memoryMb, step.perTask.gpu}},
        {"e", step.estimate.count()},
        {"a", step.after},
        {"f", {step.checkpointing, step.gang, step.rackLocal, step.speculative, step.longRunning, step.bestEffort}},
        {"q", step.requirement},
        {"k", step.affinityRack},
        {"x", step.antiAffinity},
        {"i", step.image},
        {"t", step.target.count()}};
    if (step.maxUnavailable) {
        out["u"] = *step.maxUnavailable;
    }
    return out;
}

auto decodeStep(const json &in) -> jobs::step_spec
{
    jobs::step_spec step;
    step.taskCount = in.at("n").get<std::uint32_t>();
    const auto &resources = in.at("r");
    step.perTask = {resources.at(0).get<std::int64_t>(), resources.at(1).get<std::int64_t>(),
                    resources.at(2).get<std::int64_t>()};
    step.estimate = std::chrono::milliseconds{in.at("e").get<std::int64_t>()};
    step.after = in.at("a").get<std::vector<std::uint32_t>>();
    const auto &flags = in.at("f");
    step.checkpointing = flags.at(0).get<bool>();
    step.gang = flags.at(1).get<bool>();
    step.rackLocal = flags.at(2).get<bool>();
    step.speculative = flags.at(3).get<bool>();
    step.longRunning = flags.at(4).get<bool>();
    step.bestEffort = flags.at(5).get<bool>();
    step.requirement = in.at("q").get<std::string>();
    step.affinityRack = in.at("k").get<std::string>();
    step.antiAffinity = in.at("x").get<std::uint32_t>();
    step.image = in.at("i").get<std::string>();
    step.target = std::chrono::milliseconds{in.at("t").get<std::int64_t>()};
    if (in.contains("u")) {
        step.maxUnavailable = in.at("u").get<std::uint32_t>();
    }
    return step;
}

auto encodeQueue(const jobs::queue_policy &queue) -> json
{
    json out{{"name", queue.name.str()},      {"pool", queue.pool.str()}, {"priority", queue.priority},
             {"attempts", queue.maxAttempts}, {"stretch", queue.stretch}, {"target_ms", queue.targetLatency.count()}};
    if (queue.advice) {
        out["advice"] = {queue.advice->decisionTime.count(), queue.advice->timePerWorker.count(),
                         queue.advice->validity.count()};
    }
    return out;
}

auto decodeQueue(const json &in) -> jobs::queue_policy
{
    jobs::queue_policy queue;
    queue.name = jobs::queue_id{in.at("name").get<std::string>()};
    queue.pool = core::pool_id{in.at("pool").get<std::string>()};
    queue.priority = in.at("priority").get<std::uint32_t>();
    queue.maxAttempts = in.at("attempts").get<std::uint32_t>();
    queue.stretch = in.at("stretch").get<double>();
    queue.targetLatency = std::chrono::milliseconds{in.at("target_ms").get<std::int64_t>()};
    if (in.contains("advice")) {
        const auto &advice = in.at("advice");
        queue.advice = jobs::advice_policy{std::chrono::milliseconds{advice.at(0).get<std::int64_t>()},
                                           std::chrono::milliseconds{advice.at(1).get<std::int64_t>()},
                                           std::chrono::milliseconds{advice.at(2).get<std::int64_t>()}};
    }
    return queue;
}

// Schedules the stored job far in the future. Builds that do not know progress in parts would take such a job for one
// without progress: they know it, answer for it and can cancel it, but must not start its tasks again.
auto deferSchedule(json &out, const jobs::multistep_job_spec &spec) -> void
{
    out["schedule"] = {{"repeat", spec.repeatCount}, {"first_ms", core::toUnixMilliseconds(spec.firstDue)}};
    out["repeat"] = spec.occurrences();
    out["first_ms"] = deferredDueMs;
}
} // namespace

auto encodeJob(const jobs::multistep_job_record &job, progress_layout layout) -> std::string
{
    json steps = json::array();
    for (const auto &step : job.spec.steps) {
        steps.push_back(encodeStep(step));
    }
    json out{{"queue", encodeQueue(job.queue)},
             {"payload", json::binary({job.spec.payload.begin(), job.spec.payload.end()})},
             {"steps", std::move(steps)},
             {"repeat", job.spec.repeatCount},
             {"first_ms", core::toUnixMilliseconds(job.spec.firstDue)},
             {"interval_ms", job.spec.interval.count()},
             {"accepted_us", job.acceptedAt.time_since_epoch().count()}};
    if (!job.account.empty()) {
        out["account"] = job.account.str();
    }
    if (layout == progress_layout::parts) {
        deferSchedule(out, job.spec);
    }
    const auto bytes = json::to_cbor(out);
    return {bytes.begin(), bytes.end()};
}

auto maxEncodedBytes(const jobs::multistep_job_record &job) -> std::size_t
{
    auto bytes = maxBytesOfJob + job.spec.payload.size() + job.queue.name.str().size() + job.queue.pool.str().size()
        + job.account.str().size();
    for (const auto &step : job.spec.steps) {
        bytes += maxBytesOfStep + step.requirement.size() + step.affinityRack.size() + step.image.size()
            + maxBytesOfDependency * step.after.size();
    }
    return bytes;
}

auto decodeJob(const jobs::job_id &id, std::string_view bytes) -> core::result<decoded_job>
{
    try {
        const auto in = json::from_cbor(bytes);
        jobs::multistep_job_spec spec;
        const auto &payload = in.at("payload").get_binary();
        spec.payload.assign(payload.begin(), payload.end());
        for (const auto &step : in.at("steps")) {
            spec.steps.push_back(decodeStep(step));
        }
        const auto layout = in.contains("schedule") ? progress_layout::parts : progress_layout::one_record;
        const auto &schedule = layout == progress_layout::parts ? in.at("schedule") : in;
        spec.repeatCount = schedule.at("repeat").get<std::uint32_t>();
        spec.firstDue = core::fromUnixMilliseconds(schedule.at("first_ms").get<std::int64_t>());
        spec.interval = std::chrono::milliseconds{in.at("interval_ms").get<std::int64_t>()};
        if (!jobs::isValidSpec(spec)) {
            return core::failure(core::error_kind::malformed_message, "job record with invalid steps");
        }
        const core::wall_time accepted{core::duration{in.at("accepted_us").get<std::int64_t>()}};
        auto job = jobs::makeJob(id, decodeQueue(in.at("queue")), std::move(spec), accepted);
        job.account = jobs::account_id{in.value("account", std::string{})};
        return decoded_job{std::move(job), layout};
    } catch (const json::exception &problem) {
        return core::failure(core::error_kind::malformed_message, problem.what());
    }
}
} // namespace poplarpass::codec
