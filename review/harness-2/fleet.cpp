#include "fleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace harness
{
using nlohmann::json;

namespace
{
constexpr std::chrono::milliseconds tick{10};

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// ID.K.STEP of ID.K.STEP.INDEX.
std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

http_response conflict(std::int64_t clock, const std::string &reason)
{
    return {409, json{{"clock_ms", clock}, {"reason", reason}}.dump()};
}
} // namespace

fleet::fleet(store &platform, record &log, const std::string &ip, bounds limits)
    : m_store{platform}
    , m_log{log}
    , m_bounds{limits}
{
    m_service = std::make_unique<http_server>(ip, [this](const http_request &request) -> std::optional<http_response> {
        return request.path == "/api/machines" ? list() : conflict(0, "busy");
    });
    m_ticker = std::thread{[this] {
        while (true) {
            std::this_thread::sleep_for(tick);
            const std::lock_guard lock{m_mutex};
            if (m_ending) {
                return;
            }
            for (const auto &target : m_workers) {
                if (target->up) {
                    advance(*target, now());
                }
            }
        }
    }};
}

fleet::~fleet()
{
    {
        const std::lock_guard lock{m_mutex};
        m_ending = true;
    }
    m_changed.notify_all();
    m_ticker.join();
    m_service->stop();
    for (const auto &target : m_workers) {
        if (target->server) {
            target->server->stop();
        }
    }
}

worker &fleet::add(const std::string &service, const std::string &ip, std::vector<std::string> labels, int cpu)
{
    auto added = std::make_unique<worker>();
    auto &target = *added;
    {
        const std::lock_guard lock{m_mutex};
        const auto number = std::to_string(m_workers.size() + 1);
        target.machine = "m-" + number;
        target.id = "i-" + number;
        target.service = service;
        target.zone = "zone-a";
        target.labels = std::move(labels);
        target.cpu = cpu;
        target.ip = ip;
        m_workers.push_back(std::move(added));
    }
    restart(target);
    return target;
}

void fleet::announce(const std::string &job, const std::vector<step_plan> &steps)
{
    const std::lock_guard lock{m_mutex};
    m_jobs[job] = steps;
}

void fleet::crash(const std::vector<worker *> &targets)
{
    std::vector<std::unique_ptr<http_server>> servers;
    {
        const std::lock_guard lock{m_mutex};
        for (auto *target : targets) {
            m_log.write("worker " + target->id + " crashes with " + std::to_string(target->running.size()) + " runs");
            target->up = false;
            for (const auto &run : target->running) {
                if (!run.gang.empty()) {
                    m_brokenGangs.insert(run.gang);
                }
            }
            target->running.clear();
            target->ended.clear();
            servers.push_back(std::move(target->server));
        }
    }
    // Requests that are handled now end without an answer.
    m_changed.notify_all();
    for (const auto &server : servers) {
        server->stop();
    }
}

void fleet::restart(worker &target)
{
    const std::lock_guard lock{m_mutex};
    target.up = true;
    target.bornMs = unixMs();
    target.startedMs = now();
    target.entryAtMs = now();
    target.token = 0;
    target.deadlineMs = 0;
    target.lastEnd = 0;
    target.seq = 0;
    target.highestEnded.clear();
    listen(target);
    writeEntry(target);
    std::string labels;
    for (const auto &label : target.labels) {
        labels += " " + label;
    }
    m_log.write("worker " + target.id + " starts at " + target.server->address() + ", labels" + labels);
}

void fleet::listen(worker &target)
{
    target.server = std::make_unique<http_server>(
        target.ip,
        [this, &target, born = target.bornMs](const http_request &request) { return handle(target, born, request); },
        target.port);
    target.port = target.server->port();
}

void fleet::writeEntry(worker &target)
{
    target.entryAtMs += m_bounds.heartbeatMs;
    m_store.put("keyed.servers", target.id,
                json{{"service", target.service},
                     {"address", target.ip + ":" + std::to_string(target.port)},
                     {"zone", target.zone},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_remaining_ms", 0},
                     {"capacity", {{"cpu", target.cpu}, {"mem_mb", target.memMb}, {"gpu", 0}}},
                     {"labels", target.labels},
                     {"clock_ms", clockOf(target)},
                     {"born", target.bornMs},
                     {"seq", ++target.seq}}
                    .dump());
}

const step_plan *fleet::planOf(const std::string &task) const
{
    const auto job = m_jobs.find(task.substr(0, task.find('.')));
    const auto step = stepOf(task);
    const auto number = static_cast<std::size_t>(std::stoul(step.substr(step.rfind('.') + 1)));
    return job == m_jobs.end() || number >= job->second.size() ? nullptr : &job->second[number];
}

std::optional<http_response> fleet::handle(worker &target, std::int64_t born, const http_request &request)
{
    {
        const std::lock_guard lock{m_mutex};
        if (m_ending || !target.up || target.bornMs != born) {
            return std::nullopt;
        }
        const auto expected = request.headers.find("poplarpass-expect-instance");
        if (expected != request.headers.end() && expected->second != target.id) {
            return http_response{421, json{{"clock_ms", clockOf(target)}}.dump()};
        }
    }
    if (request.path == "/api/run-start") {
        return start(target, request.body);
    }
    if (request.path == "/api/run-stop") {
        return stop(target, request.body);
    }
    if (request.path == "/api/hold") {
        return hold(target, born, request.body);
    }
    return http_response{request.path == "/healthz" || request.path == "/api/pace" ? 200 : 404,
                         json{{"clock_ms", clockOf(target)}}.dump()};
}

std::optional<http_response> fleet::start(worker &target, const std::string &text)
{
    const auto body = json::parse(text);
    const std::lock_guard lock{m_mutex};
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run_id").get<std::uint64_t>();
    const auto token = body.value("fencing_token", std::uint64_t{0});
    const auto clock = clockOf(target);
    const auto name = task + " run " + std::to_string(run) + " at " + target.id + ": ";
    if (const auto status = refuseStart ? refuseStart(target, task) : std::nullopt) {
        m_log.write("start " + name + std::to_string(*status));
        return http_response{*status, json{{"clock_ms", clock}}.dump()};
    }
    if (token < target.token) {
        m_log.write("start " + name + "409 fence");
        return conflict(clock, "fence");
    }
    target.token = token;
    const auto deadline = std::min(body.at("deadline_ms").get<std::int64_t>(), clock + m_bounds.maxHoldMs);
    if (deadline <= clock) {
        m_log.write("start " + name + "409 late");
        return conflict(clock, "late");
    }
    const auto extend = [&] {
        target.deadlineMs = std::max(target.deadlineMs, deadline);
    };
    const auto same = std::ranges::find(target.running, task, &run_state::task);
    if (same != target.running.end() && same->run == run) {
        extend();
        return http_response{200, json{{"clock_ms", clock}}.dump()};
    }
    const auto highest = target.highestEnded.find(task);
    if (same != target.running.end() || (highest != target.highestEnded.end() && run <= highest->second)) {
        extend();
        m_log.write("start " + name + "409 old");
        return conflict(clock, "old");
    }
    const auto *plan = planOf(task);
    if (plan == nullptr) {
        m_log.write("start " + name + "400, no client sent it");
        return http_response{400, json{{"clock_ms", clock}}.dump()};
    }
    int cpu = plan->cpu;
    int memory = plan->memMb;
    for (const auto &other : target.running) {
        cpu += other.cpu;
        memory += other.memMb;
    }
    if (cpu > target.cpu || memory > target.memMb) {
        extend();
        m_log.write("start " + name + "409 room");
        return conflict(clock, "room");
    }
    extend();
    run_state state;
    state.task = task;
    state.run = run;
    state.cpu = plan->cpu;
    state.memMb = plan->memMb;
    state.startedMs = now();
    state.runMs = plan->runMs;
    if (plan->gang) {
        state.gang = stepOf(task) + "/" + std::to_string(run);
    } else {
        state.worksSinceMs = now();
    }
    for (const auto &other : m_workers) {
        if (other->up && std::ranges::find(other->running, task, &run_state::task) != other->running.end()) {
            m_concurrentStarts.push_back(task + " on " + target.id + ", and still on " + other->id);
        }
    }
    target.running.push_back(state);
    m_starts.push_back({task, run, target.id, target.labels});
    m_log.write("start " + name + "200");
    if (plan->gang) {
        advanceGang(state.gang, now());
    }
    return http_response{200, json{{"clock_ms", clock}}.dump()};
}

std::optional<http_response> fleet::stop(worker &target, const std::string &text)
{
    const auto body = json::parse(text);
    const std::lock_guard lock{m_mutex};
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run_id").get<std::uint64_t>();
    const auto token = body.value("fencing_token", std::uint64_t{0});
    const auto clock = clockOf(target);
    if (token < target.token) {
        return conflict(clock, "fence");
    }
    target.token = token;
    auto &highest = target.highestEnded[task];
    highest = std::max(highest, run);
    const auto found =
        std::ranges::find_if(target.running, [&](const auto &entry) { return entry.task == task && entry.run <= run; });
    if (found != target.running.end() && found->stopAtMs < 0) {
        found->stopAtMs = now() + m_bounds.stopMs / 2;
    }
    m_log.write("stop " + task + " run " + std::to_string(run) + " at " + target.id);
    return http_response{200, json{{"clock_ms", clock}}.dump()};
}

std::optional<http_response> fleet::hold(worker &target, std::int64_t born, const std::string &text)
{
    const auto body = json::parse(text);
    std::unique_lock lock{m_mutex};
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < target.token) {
        return conflict(clockOf(target), "fence");
    }
    target.token = token;
    if (body.contains("deadline_ms")) {
        const auto deadline = std::min(body["deadline_ms"].get<std::int64_t>(), clockOf(target) + m_bounds.maxHoldMs);
        target.deadlineMs = std::max(target.deadlineMs, deadline);
    }
    const auto lastSeen = body.value("last_seen", std::uint64_t{0});
    std::erase_if(target.ended, [&](const auto &entry) { return entry.number <= lastSeen; });
    const std::chrono::milliseconds wait{std::min<std::int64_t>(body.value("wait_ms", std::int64_t{0}), 2000)};
    m_changed.wait_for(lock, wait,
                       [&] { return m_ending || !target.up || target.bornMs != born || !target.ended.empty(); });
    if (m_ending || !target.up || target.bornMs != born) {
        return std::nullopt;
    }
    json running = json::array();
    for (const auto &entry : target.running) {
        const auto worked = entry.worksSinceMs < 0 ? 0 : now() - entry.worksSinceMs;
        const auto percent = std::min<std::int64_t>(99, worked * 100 / std::max<std::int64_t>(entry.runMs, 1));
        running.push_back({entry.task, entry.run, "", percent, entry.cpu});
    }
    json ended = json::array();
    for (const auto &entry : target.ended) {
        ended.push_back({entry.number, entry.task, entry.run, entry.how, ""});
    }
    return http_response{
        200,
        json{{"clock_ms", clockOf(target)}, {"born", target.bornMs}, {"running", running}, {"ended", ended}}.dump()};
}

http_response fleet::list()
{
    const std::lock_guard lock{m_mutex};
    json machines = json::array();
    for (const auto &target : m_workers) {
        machines.push_back({{"machine", target->machine},
                            {"pool", target->service},
                            {"state", target->up ? "up" : "down"},
                            {"zone", target->zone},
                            {"labels", target->labels},
                            {"capacity", {{"cpu", target->cpu}, {"mem_mb", target->memMb}, {"gpu", 0}}},
                            {"id", target->id}});
    }
    return {200, json{{"machines", machines}, {"next_token", nullptr}}.dump()};
}

void fleet::end(worker &target, std::size_t position, const std::string &how)
{
    const auto run = target.running[position];
    target.running.erase(target.running.begin() + static_cast<std::ptrdiff_t>(position));
    target.ended.push_back({++target.lastEnd, run.task, run.run, how});
    auto &highest = target.highestEnded[run.task];
    highest = std::max(highest, run.run);
    if (how == "done") {
        m_done.insert(run.task);
    } else if (!run.gang.empty()) {
        m_brokenGangs.insert(run.gang);
    }
    m_log.write("end " + run.task + " run " + std::to_string(run.run) + " at " + target.id + ": " + how);
    m_changed.notify_all();
}

std::size_t fleet::presentOf(const std::string &gang) const
{
    std::size_t present = 0;
    for (const auto &target : m_workers) {
        present +=
            target->up ? static_cast<std::size_t>(std::ranges::count(target->running, gang, &run_state::gang)) : 0;
    }
    return present;
}

// The members of a gang work from the moment when all of them are present.
void fleet::advanceGang(const std::string &gang, std::int64_t time)
{
    const auto *plan = planOf(gang.substr(0, gang.find('/')) + ".0");
    if (plan == nullptr || presentOf(gang) < static_cast<std::size_t>(plan->count)) {
        return;
    }
    for (const auto &target : m_workers) {
        for (auto &run : target->running) {
            if (run.gang == gang && run.worksSinceMs < 0) {
                run.worksSinceMs = time;
            }
        }
    }
}

void fleet::advance(worker &target, std::int64_t time)
{
    if (time >= target.entryAtMs) {
        writeEntry(target);
    }
    if (!target.running.empty() && clockOf(target) >= target.deadlineMs) {
        while (!target.running.empty()) {
            end(target, target.running.size() - 1, "lapsed");
        }
    }
    for (std::size_t position = 0; position < target.running.size();) {
        const auto &run = target.running[position];
        std::string how;
        if (run.stopAtMs >= 0 && time >= run.stopAtMs) {
            how = "stopped";
        } else if (!run.gang.empty() && m_brokenGangs.count(run.gang) && run.worksSinceMs >= 0) {
            how = "broken";
        } else if (!run.gang.empty() && run.worksSinceMs < 0 && time - run.startedMs >= m_bounds.gangTimeoutMs) {
            how = "alone";
        } else if (run.worksSinceMs >= 0 && time - run.worksSinceMs >= run.runMs) {
            how = "done";
        }
        if (how.empty()) {
            ++position;
        } else {
            end(target, position, how);
        }
    }
}

void fleet::writeEntryNow(worker &target)
{
    const std::lock_guard lock{m_mutex};
    target.entryAtMs = now();
    writeEntry(target);
}

std::vector<std::string> fleet::concurrentStarts()
{
    const std::lock_guard lock{m_mutex};
    return m_concurrentStarts;
}

std::vector<start_event> fleet::starts()
{
    const std::lock_guard lock{m_mutex};
    return m_starts;
}

std::size_t fleet::runningOn(const worker &target)
{
    const std::lock_guard lock{m_mutex};
    return target.running.size();
}

bool fleet::runsTaskOf(const worker &target, const std::string &job)
{
    const std::lock_guard lock{m_mutex};
    return std::ranges::any_of(target.running, [&](const auto &run) { return run.task.starts_with(job + "."); });
}

std::size_t fleet::runningOf(const std::string &job)
{
    const std::lock_guard lock{m_mutex};
    std::size_t count = 0;
    for (const auto &target : m_workers) {
        count += static_cast<std::size_t>(
            std::ranges::count_if(target->running, [&](const auto &run) { return run.task.starts_with(job + "."); }));
    }
    return count;
}

bool fleet::isDone(const std::string &task)
{
    const std::lock_guard lock{m_mutex};
    return m_done.count(task) > 0;
}
} // namespace harness
