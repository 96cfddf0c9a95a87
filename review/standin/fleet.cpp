#include "fleet.h"

#include <algorithm>
#include <chrono>

namespace review
{
using nlohmann::json;

namespace
{
constexpr std::int64_t tickMs = 4;
constexpr std::size_t maxEndsListed = 500;
constexpr std::int64_t failAfterMs = 100;

std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// "ID.K.STEP.INDEX" to "ID.K.STEP".
std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::string gangKey(const std::string &task, std::int64_t run)
{
    return stepOf(task) + "/" + std::to_string(run);
}
} // namespace

Fleet::Fleet(FleetOptions options, Store &store, Record &record)
    : m_options{std::move(options)}
    , m_store{store}
    , m_record{record}
{
    const auto now = nowMs();
    for (int i = 0; i < m_options.workers; ++i) {
        auto worker = std::make_unique<Worker>();
        char id[32];
        std::snprintf(id, sizeof id, "i-%010x", 0x7f3a0000 + i);
        worker->id = id;
        std::snprintf(id, sizeof id, "m-%05x", 0x0a000 + i);
        worker->machine = id;
        worker->rack = "r1-" + std::to_string(i / m_options.workersPerRack);
        m_workers.push_back(std::move(worker));
    }
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        startLife(*m_workers[i], now);
        m_workers[i]->server =
            std::make_unique<Server>([this, i](const Request &request) { return handleWorker(i, request); });
    }
    m_cloud = std::make_unique<Server>([this](const Request &request) { return handleCloud(request); });
    m_ticker = std::thread{[this] {
        while (!m_stopping) {
            tick();
            sleepMs(tickMs);
        }
    }};
}

Fleet::~Fleet()
{
    m_stopping = true;
    m_changed.notify_all();
    m_ticker.join();
    m_cloud.reset();
    for (auto &worker : m_workers) {
        worker->server.reset();
    }
}

std::string Fleet::cloudAddress() const
{
    return m_cloud->address();
}

void Fleet::addJob(const std::string &id, const json &body, std::vector<std::int64_t> workMs)
{
    const std::lock_guard lock{m_mutex};
    const auto &steps = body.at("steps");
    for (std::size_t step = 0; step < steps.size(); ++step) {
        TaskNeed need;
        need.cpu = steps[step].value("cpu", std::int64_t{0});
        need.memMb = steps[step].value("mem_mb", std::int64_t{0});
        need.gang = steps[step].value("gang_scheduled", false);
        need.longRunning = steps[step].value("long_running", false);
        need.members = steps[step].at("count").get<int>();
        need.workMs = workMs.at(std::min(step, workMs.size() - 1));
        m_needs[id + "." + std::to_string(step)] = need;
    }
}

const TaskNeed *Fleet::needOf(const std::string &task) const
{
    const auto step = stepOf(task);
    const auto found = m_needs.find(jobOf(task) + step.substr(step.rfind('.')));
    return found == m_needs.end() ? nullptr : &found->second;
}

std::vector<RunEvent> Fleet::events() const
{
    const std::lock_guard lock{m_mutex};
    return m_events;
}

std::set<std::string> Fleet::workersOf(const std::string &job) const
{
    const std::lock_guard lock{m_mutex};
    std::set<std::string> found;
    for (const auto &worker : m_workers) {
        for (const auto &[task, run] : worker->runs) {
            if (jobOf(task) == job) {
                found.insert(worker->id);
            }
        }
    }
    return found;
}

int Fleet::running(const std::string &job) const
{
    const std::lock_guard lock{m_mutex};
    int count = 0;
    for (const auto &worker : m_workers) {
        count += static_cast<int>(std::count_if(worker->runs.begin(), worker->runs.end(),
                                                [&](const auto &entry) { return jobOf(entry.first) == job; }));
    }
    return count;
}

std::string Fleet::firstWorker() const
{
    return m_workers.front()->id;
}

int Fleet::done(const std::string &job) const
{
    const std::lock_guard lock{m_mutex};
    std::set<std::string> tasks;
    for (const auto &event : m_events) {
        if (event.what == "done" && jobOf(event.task) == job) {
            tasks.insert(event.task);
        }
    }
    return static_cast<int>(tasks.size());
}

Fleet::Worker &Fleet::find(const std::string &id)
{
    return **std::find_if(m_workers.begin(), m_workers.end(), [&](const auto &worker) { return worker->id == id; });
}

void Fleet::startLife(Worker &worker, std::int64_t now)
{
    worker.up = true;
    worker.upAt = -1;
    worker.bornSteady = now;
    worker.bornUnix = unixMs();
    worker.sequence = 0;
    worker.nextBeat = now;
    worker.removeEntryAt = -1;
    worker.token = 0;
    worker.leaseEnd = 0;
    worker.runs.clear();
    worker.highestEnded.clear();
    worker.ends.clear();
    worker.lastEnd = 0;
}

std::int64_t Fleet::clockOf(const Worker &worker) const
{
    return nowMs() - worker.bornSteady;
}

std::int64_t Fleet::usedCpu(const Worker &worker) const
{
    std::int64_t used = 0;
    for (const auto &[task, run] : worker.runs) {
        used += run.need.cpu;
    }
    return used;
}

void Fleet::cut(const std::string &id, bool isCut)
{
    m_record.line((isCut ? "disruption: cut off " : "end of disruption: reachable again ") + id);
    find(id).server->setCut(isCut);
}

void Fleet::crash(const std::string &id, std::int64_t downMs)
{
    const std::lock_guard lock{m_mutex};
    auto &worker = find(id);
    m_record.line("disruption: crash of " + id + " for " + std::to_string(downMs) + " ms");
    loseAll(worker);
    worker.up = false;
    worker.upAt = nowMs() + downMs;
    worker.removeEntryAt = nowMs() + 3 * m_options.heartbeatMs;
    worker.server->setDown(true);
}

void Fleet::failAll(const std::string &id, std::int64_t forMs)
{
    const std::lock_guard lock{m_mutex};
    auto &worker = find(id);
    m_record.line("disruption: " + id + " fails all that it runs or starts, for " + std::to_string(forMs) + " ms");
    worker.failingUntil = nowMs() + forMs;
    for (auto &[task, run] : worker.runs) {
        run.failAt = nowMs();
    }
}

void Fleet::loseAll(Worker &worker)
{
    for (const auto &[task, run] : worker.runs) {
        m_events.push_back({nowMs(), task, run.run, worker.id, "lost"});
        m_record.line("run lost with its worker: " + task + " run " + std::to_string(run.run) + " on " + worker.id);
    }
    worker.runs.clear();
}

Response Fleet::handleWorker(std::size_t index, const Request &request)
{
    auto &worker = *m_workers[index];
    if (request.path == "/healthz") {
        return {200, "{}"};
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        return {400, "{}"};
    }
    {
        const std::lock_guard lock{m_mutex};
        if (!worker.up) {
            return {503, "{}", "application/json", true};
        }
        const auto expected = request.header("Poplarpass-Expect-Instance");
        if (!expected.empty() && expected != worker.id) {
            return {421, "{}"};
        }
        const auto token = body.value("fencing_token", std::int64_t{0});
        if (token < worker.token) {
            return {409, json{{"clock_ms", clockOf(worker)}, {"born", worker.bornUnix}, {"reason", "fence"}}.dump()};
        }
        worker.token = token;
        if (request.path == "/api/run-start") {
            return startRun(worker, body);
        }
        if (request.path == "/api/run-stop") {
            return stopRun(worker, body);
        }
        if (request.path == "/api/pace") {
            return {200, json{{"clock_ms", clockOf(worker)}}.dump()};
        }
    }
    return request.path == "/api/hold" ? hold(index, body) : Response{404, "{}"};
}

void Fleet::extendLease(Worker &worker, const json &body)
{
    if (body.contains("deadline_ms")) {
        const auto longest = clockOf(worker) + m_options.maxHoldMs;
        worker.leaseEnd = std::max(worker.leaseEnd, std::min(body["deadline_ms"].get<std::int64_t>(), longest));
    }
}

Response Fleet::startRun(Worker &worker, const json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run_id").get<std::int64_t>();
    const auto reject = [&](const char *reason) {
        recordRun(task, "start rejected: " + task + " run " + std::to_string(run) + " on " + worker.id + ": " + reason);
        return Response{409, json{{"clock_ms", clockOf(worker)}, {"born", worker.bornUnix}, {"reason", reason}}.dump()};
    };
    if (body.at("deadline_ms").get<std::int64_t>() <= clockOf(worker)) {
        return reject("late");
    }
    extendLease(worker, body);
    const Response started{200, json{{"clock_ms", clockOf(worker)}, {"born", worker.bornUnix}}.dump()};
    const auto present = worker.runs.find(task);
    if (present != worker.runs.end() && present->second.run == run) {
        return started;
    }
    const auto highest = worker.highestEnded.find(task);
    if (present != worker.runs.end() || (highest != worker.highestEnded.end() && run <= highest->second)) {
        return reject("old");
    }
    const auto *need = needOf(task);
    if (need == nullptr) {
        m_record.line("start of a task that no client sent: " + task);
        return {400, "{}"};
    }
    if (usedCpu(worker) + need->cpu > m_options.cpu) {
        return reject("room");
    }
    Run entry;
    entry.run = run;
    entry.need = *need;
    entry.startedAt = nowMs();
    entry.workSince = need->gang ? -1 : entry.startedAt;
    entry.failAt = entry.startedAt < worker.failingUntil ? entry.startedAt + failAfterMs : -1;
    worker.runs[task] = entry;
    m_events.push_back({entry.startedAt, task, run, worker.id, "start"});
    recordRun(task,
              "start: " + task + " run " + std::to_string(run) + " on " + worker.id + ", token "
                  + std::to_string(worker.token));
    return started;
}

Response Fleet::stopRun(Worker &worker, const json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run_id").get<std::int64_t>();
    const auto present = worker.runs.find(task);
    if (present != worker.runs.end() && present->second.run == run) {
        if (present->second.stopAt < 0) {
            present->second.stopAt = nowMs() + m_options.stopMs;
            recordRun(task, "stop: " + task + " run " + std::to_string(run) + " on " + worker.id);
        }
    } else {
        auto &highest = worker.highestEnded[task];
        highest = std::max(highest, run);
    }
    return {200, json{{"clock_ms", clockOf(worker)}, {"born", worker.bornUnix}}.dump()};
}

Response Fleet::hold(std::size_t index, const json &body)
{
    std::unique_lock lock{m_mutex};
    auto &worker = *m_workers[index];
    const auto born = worker.bornUnix;
    const auto seen = body.value("last_seen", std::int64_t{0});
    std::erase_if(worker.ends, [seen](const End &end) { return end.number <= seen; });
    extendLease(worker, body);
    const auto wait = std::chrono::milliseconds{std::min<std::int64_t>(body.value("wait_ms", 0), 2000)};
    m_changed.wait_for(lock, wait, [&] { return m_stopping || !worker.ends.empty() || worker.bornUnix != born; });
    if (worker.bornUnix != born || !worker.up) {
        return {503, "{}", "application/json", true};
    }
    json running = json::array();
    for (const auto &[task, run] : worker.runs) {
        const auto worked = run.workSince < 0 ? 0 : nowMs() - run.workSince;
        const auto percent = run.need.longRunning ? 100 : std::min<std::int64_t>(99, worked * 100 / run.need.workMs);
        running.push_back({task, run.run, "", percent, run.need.cpu});
    }
    json ended = json::array();
    for (const auto &end : worker.ends) {
        if (ended.size() < maxEndsListed) {
            ended.push_back({end.number, end.task, end.run, end.how, ""});
        }
    }
    return {
        200,
        json{{"clock_ms", clockOf(worker)}, {"born", worker.bornUnix}, {"running", running}, {"ended", ended}}.dump()};
}

void Fleet::recordRun(const std::string &task, const std::string &text)
{
    if (m_options.quietJob.empty() || jobOf(task) != m_options.quietJob) {
        m_record.line(text);
    }
}

void Fleet::endRun(Worker &worker, const std::string &task, const std::string &how)
{
    const auto found = worker.runs.find(task);
    const auto run = found->second.run;
    const bool isGang = found->second.need.gang;
    worker.runs.erase(found);
    auto &highest = worker.highestEnded[task];
    highest = std::max(highest, run);
    worker.ends.push_back({++worker.lastEnd, task, run, how});
    m_events.push_back({nowMs(), task, run, worker.id, how});
    recordRun(task, "end: " + task + " run " + std::to_string(run) + " on " + worker.id + ": " + how);
    if (isGang && how != "done" && how != "broken") {
        for (auto &other : m_workers) {
            for (auto &[name, member] : other->runs) {
                if (gangKey(name, member.run) == gangKey(task, run) && member.breakAt < 0) {
                    member.breakAt = nowMs() + m_options.crossMs;
                }
            }
        }
    }
    m_changed.notify_all();
}

void Fleet::tick()
{
    const std::lock_guard lock{m_mutex};
    const auto now = nowMs();
    updateGangs(now);
    for (auto &worker : m_workers) {
        tickWorker(*worker, now);
    }
}

// A gang works from the moment when all members of a run are present, and its members end together.
void Fleet::updateGangs(std::int64_t now)
{
    std::map<std::string, std::vector<Run *>> gangs;
    for (auto &worker : m_workers) {
        for (auto &[task, run] : worker->runs) {
            if (run.need.gang) {
                gangs[gangKey(task, run.run)].push_back(&run);
            }
        }
    }
    for (auto &[key, members] : gangs) {
        const bool isComplete = static_cast<int>(members.size()) == members.front()->need.members;
        if (isComplete && !m_gangDone.contains(key)) {
            m_gangDone[key] = now + members.front()->need.workMs;
            for (auto *member : members) {
                member->workSince = now;
            }
        }
    }
}

void Fleet::tickWorker(Worker &worker, std::int64_t now)
{
    if (!worker.up) {
        if (worker.removeEntryAt >= 0 && now >= worker.removeEntryAt) {
            worker.removeEntryAt = -1;
            m_store.put("keyed.servers", worker.id, "");
        }
        if (worker.upAt >= 0 && now >= worker.upAt) {
            m_record.line("up again: " + worker.id);
            startLife(worker, now);
            worker.server->setDown(false);
        }
        return;
    }
    beat(worker, now);
    if (!worker.runs.empty() && clockOf(worker) >= worker.leaseEnd) {
        while (!worker.runs.empty()) {
            const auto task = worker.runs.begin()->first;
            endRun(worker, task, "lapsed");
        }
        return;
    }
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto &[task, run] : worker.runs) {
        const auto gang = run.need.gang ? m_gangDone.find(gangKey(task, run.run)) : m_gangDone.end();
        if (run.failAt >= 0 && now >= run.failAt && run.workSince >= 0) {
            ended.emplace_back(task, "failed");
        } else if (run.stopAt >= 0 && now >= run.stopAt) {
            ended.emplace_back(task, "stopped");
        } else if (run.breakAt >= 0 && now >= run.breakAt) {
            ended.emplace_back(task, "broken");
        } else if (run.need.gang && run.workSince < 0 && now - run.startedAt >= m_options.gangTimeoutMs) {
            ended.emplace_back(task, "alone");
        } else if (run.need.longRunning || run.stopAt >= 0 || run.breakAt >= 0) {
            continue;
        } else if (run.need.gang ? gang != m_gangDone.end() && now >= gang->second
                                 : now - run.workSince >= run.need.workMs) {
            ended.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : ended) {
        endRun(worker, task, how);
    }
}

// A worker that is cut off from the system's machines still reaches the store.
void Fleet::beat(Worker &worker, std::int64_t now)
{
    if (now < worker.nextBeat) {
        return;
    }
    worker.nextBeat = now + m_options.heartbeatMs;
    const json entry{{"service", m_options.service},
                     {"address", worker.server ? worker.server->address() : std::string{}},
                     {"zone", "zone-a"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_remaining_ms", 0},
                     {"capacity", {{"cpu", m_options.cpu}, {"mem_mb", m_options.memMb}, {"gpu", 0}}},
                     {"labels", {"a", worker.rack}},
                     {"clock_ms", clockOf(worker)},
                     {"born", worker.bornUnix},
                     {"seq", ++worker.sequence}};
    m_store.put("keyed.servers", worker.id, entry.dump());
}

Response Fleet::handleCloud(const Request &request)
{
    const std::lock_guard lock{m_mutex};
    if (request.path == "/api/machines") {
        json machines = json::array();
        for (const auto &worker : m_workers) {
            machines.push_back({{"machine", worker->machine},
                                {"pool", m_options.service},
                                {"state", worker->up ? "up" : "down"},
                                {"zone", "zone-a"},
                                {"labels", {"a", worker->rack}},
                                {"capacity", {{"cpu", m_options.cpu}, {"mem_mb", m_options.memMb}, {"gpu", 0}}},
                                {"id", worker->id}});
        }
        return {200, json{{"machines", machines}, {"next_token", nullptr}}.dump()};
    }
    // There is one service and no wave, so no order for a machine is due.
    m_record.line("unexpected order for a machine: " + request.path + " " + request.body);
    return {400, "{}"};
}
} // namespace review
