#include "world.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT

namespace world3
{
namespace
{
auto bigEndian(std::uint64_t value, int bytes) -> std::string
{
    std::string out;
    for (int index = bytes; index > 0; --index) {
        out.push_back(static_cast<char>((value >> (8 * (index - 1))) & 0xFFU));
    }
    return out;
}

auto base64(const std::string &text) -> std::string
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        const auto left = std::min<std::size_t>(3, text.size() - at);
        std::uint32_t bits = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            bits = (bits << 8U) | (index < left ? static_cast<unsigned char>(text[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            out += index <= left ? digits[(bits >> (6 * (3 - index))) & 63U] : '=';
        }
    }
    return out;
}

auto stepOf(const std::string &task) -> std::string
{
    return task.substr(0, task.rfind('.'));
}

auto jobOf(const std::string &task) -> std::string
{
    return task.substr(0, task.find('.'));
}

/// \brief Identifiers of the processes of the system, for the signal handler.
std::atomic<int> startedProcesses[16];

/// \brief Seconds after which a scenario gives up.
constexpr unsigned longestRunS = 112;

// A scenario that is ended from outside, fails or takes too long ends its processes.
extern "C" void endProcesses(int)
{
    for (const auto &process : startedProcesses) {
        if (const int pid = process.load(); pid > 0) {
            kill(pid, SIGKILL);
        }
    }
    _exit(2);
}

auto unixMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}
} // namespace

auto millisecondsSince(steady::time_point since) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - since).count();
}

// Store

store::store(asio::io_context &loop)
    : m_loop{loop}
{
}

auto store::later(int ms, std::function<void()> action) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(m_loop, std::chrono::milliseconds{ms});
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &problem) {
        if (!problem) {
            action();
        }
    });
}

auto store::handle(const call &received, reply answer) -> void
{
    if (received.path == "/api/log-append") {
        append(received, answer);
    } else if (received.path == "/api/log-read") {
        read(received, std::move(answer));
    } else if (received.path == "/api/log-newest") {
        newest(received, answer);
    } else {
        answer(404, "{}");
    }
}

auto store::put(const std::string &topic, const std::string &key, const std::string &value) -> void
{
    auto &to = m_topics[topic];
    add(to, topic, std::string(1, static_cast<char>(key.size())) + key + value);
    wake(to);
}

auto store::add(topic &to, const std::string &name, std::string raw) -> void
{
    stored record;
    record.raw = std::move(raw);
    if (name.starts_with("keyed.")) {
        const auto length = static_cast<unsigned char>(record.raw[0]);
        record.key = record.raw.substr(1, length);
        record.value = record.raw.substr(1 + length);
        if (record.value.empty()) {
            to.newest.erase(record.key);
        } else {
            to.newest[record.key] = to.records.size();
        }
    }
    to.records.push_back(std::move(record));
}

auto store::append(const call &received, const reply &answer) -> void
{
    const auto name = received.query.at("topic");
    auto &to = m_topics[name];
    // A partition handles its appends one at a time.
    const auto begin = std::max(to.busyUntil, steady::now());
    to.busyUntil = begin + std::chrono::milliseconds{appendMs};
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(to.busyUntil - steady::now()).count();
    later(static_cast<int>(std::max<std::int64_t>(wait, 0)), [this, received, answer, name] {
        auto &to = m_topics[name];
        if (const auto at = received.query.find("at");
            at != received.query.end() && std::stoull(at->second) != to.records.size()) {
            answer(412, json{{"end_offset", to.records.size()}}.dump());
            return;
        }
        producer *by = nullptr;
        std::uint64_t sequence = 0;
        if (const auto found = received.query.find("producer"); found != received.query.end()) {
            by = &to.producers[found->second];
            const auto epoch = std::stoull(received.query.at("epoch"));
            sequence = std::stoull(received.query.at("seq"));
            if (epoch < by->epoch) {
                answer(409, R"({"reason":"fenced"})");
                return;
            }
            if (epoch > by->epoch) {
                *by = {};
                by->epoch = epoch;
            } else if (by->hasNext) {
                for (const auto &[earlier, response] : by->recent) {
                    if (earlier == sequence) {
                        answer(200, response);
                        return;
                    }
                }
                if (sequence != by->next) {
                    answer(409, json{{"reason", "seq"}, {"expected", by->next}}.dump());
                    return;
                }
            }
        }
        const auto offset = to.records.size();
        std::size_t at = 0;
        const auto &body = received.body;
        while (at + 4 <= body.size()) {
            std::uint32_t length = 0;
            for (int index = 0; index < 4; ++index) {
                length = (length << 8U) | static_cast<unsigned char>(body[at + static_cast<std::size_t>(index)]);
            }
            add(to, name, body.substr(at + 4, length));
            at += 4 + length;
        }
        const auto response = json{{"offset", offset}, {"end_offset", to.records.size()}}.dump();
        if (by != nullptr) {
            by->hasNext = true;
            by->next = sequence + 1;
            by->recent.emplace_back(sequence, response);
            if (by->recent.size() > 5) {
                by->recent.pop_front();
            }
        }
        answer(200, response);
        wake(to);
    });
}

auto store::read(const call &received, reply answer) -> void
{
    auto &from = m_topics[received.query.at("topic")];
    auto waiting = std::make_shared<waiter>();
    waiting->from = std::stoull(received.query.at("from"));
    waiting->answer = std::move(answer);
    const auto wait = received.query.contains("wait_ms") ? std::stoi(received.query.at("wait_ms")) : 0;
    if (wait == 0 || waiting->from < from.records.size()) {
        from.waiters.push_back(waiting);
        waiting->timer = nullptr;
        const auto end = from.records.size();
        std::string out = bigEndian(end, 8) + bigEndian(0, 8);
        for (auto at = waiting->from; at < end && out.size() < 1024 * 1024; ++at) {
            out += bigEndian(from.records[at].raw.size(), 4) + from.records[at].raw;
        }
        from.waiters.pop_back();
        waiting->answer(200, std::move(out));
        return;
    }
    waiting->timer = std::make_shared<asio::steady_timer>(m_loop, std::chrono::milliseconds{wait});
    from.waiters.push_back(waiting);
    waiting->timer->async_wait(
        [this, waiting, topicName = received.query.at("topic")](const boost::system::error_code &problem) {
            if (!problem) {
                auto &topic = m_topics[topicName];
                std::erase(topic.waiters, waiting);
                waiting->answer(200, bigEndian(topic.records.size(), 8) + bigEndian(0, 8));
            }
        });
}

auto store::wake(topic &to) -> void
{
    auto waiting = std::exchange(to.waiters, {});
    for (const auto &entry : waiting) {
        if (entry->from >= to.records.size()) {
            to.waiters.push_back(entry);
            continue;
        }
        entry->timer->cancel();
        const auto end = to.records.size();
        std::string out = bigEndian(end, 8) + bigEndian(0, 8);
        for (auto at = entry->from; at < end && out.size() < 1024 * 1024; ++at) {
            out += bigEndian(to.records[at].raw.size(), 4) + to.records[at].raw;
        }
        entry->answer(200, std::move(out));
    }
}

auto store::newest(const call &received, const reply &answer) -> void
{
    constexpr std::size_t pageSize = 500;
    const auto &from = m_topics[received.query.at("topic")];
    const auto after = received.query.contains("after") ? received.query.at("after") : std::string{};
    auto items = json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (auto entry = after.empty() ? from.newest.begin() : from.newest.upper_bound(after); entry != from.newest.end();
         ++entry) {
        if (items.size() == pageSize || bytes > 1'000'000) {
            hasMore = true;
            break;
        }
        const auto &record = from.records[entry->second];
        bytes += record.value.size();
        items.push_back({{"key", entry->first}, {"value", base64(record.value)}, {"offset", entry->second}});
    }
    answer(200, json{{"items", items}, {"has_more", hasMore}, {"end_offset", from.records.size()}}.dump());
}

// Workers

worker::worker(world &in, std::string id, std::string machine, std::string service, std::string rack)
    : id{std::move(id)}
    , machine{std::move(machine)}
    , service{std::move(service)}
    , rack{std::move(rack)}
    , m_world{in}
    , m_born{unixMs()}
    , m_startedAt{steady::now()}
{
}

auto worker::start(unsigned short port) -> void
{
    alive = true;
    listener =
        std::make_shared<server>(m_world.loop, [this, self = weak_from_this()](const call &received, reply answer) {
            if (const auto kept = self.lock()) {
                handle(received, std::move(answer));
            }
        });
    listener->listen(port);
    m_world.note("worker " + id + " of " + machine + " starts at " + listener->address());
    beat();
}

auto worker::fallSilent() -> void
{
    alive = false;
    silent = true;
    for (const auto &[task, entry] : running) {
        m_world.note("worker " + id + " lost " + task + " run " + std::to_string(entry.number));
    }
    running.clear();
    m_world.note("worker " + id + " of " + machine + " falls silent for good");
}

auto worker::crash() -> void
{
    alive = false;
    listener->close();
    m_polls.clear();
    for (const auto &[task, entry] : running) {
        m_world.note("worker " + id + " lost " + task + " run " + std::to_string(entry.number));
    }
    running.clear();
    m_world.note("worker " + id + " of " + machine + " crashes");
}

auto worker::clock() const -> std::int64_t
{
    return millisecondsSince(m_startedAt);
}

auto worker::beat() -> void
{
    if (!alive) {
        return;
    }
    const json entry{{"service", service},
                     {"address", listener->address()},
                     {"zone", "z1"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_remaining_ms", 0},
                     {"capacity", {{"cpu", cpu}, {"mem_mb", memory}, {"gpu", 0}}},
                     {"labels", {"a", rack}},
                     {"machine", machine},
                     {"clock_ms", clock()},
                     {"born", m_born},
                     {"seq", ++m_sequence}};
    m_world.log.put("keyed.servers", id, entry.dump());
    m_world.later(m_world.heartbeatMs, [self = weak_from_this()] {
        if (const auto kept = self.lock()) {
            kept->beat();
        }
    });
}

auto worker::refuse(const std::string &reason, const reply &answer) -> void
{
    answer(409, json{{"clock_ms", clock()}, {"born", m_born}, {"reason", reason}}.dump());
}

auto worker::extend(const json &body) -> void
{
    if (body.contains("deadline_ms")) {
        const auto wanted = std::min(body["deadline_ms"].get<std::int64_t>(), clock() + m_world.maxHoldMs);
        m_deadline = std::max(m_deadline, wanted);
    }
}

auto worker::handle(const call &received, reply answer) -> void
{
    if (silent || steady::now() < cutUntil) {
        m_unanswered.push_back(std::move(answer));
        return;
    }
    if (const auto expected = received.headers.find("poplarpass-expect-instance");
        expected != received.headers.end() && expected->second != id) {
        answer(421, "{}");
        return;
    }
    if (received.method == "GET") {
        answer(200, "{}");
        return;
    }
    const auto body = json::parse(received.body, nullptr, false);
    if (body.is_discarded()) {
        answer(400, "{}");
        return;
    }
    const auto task = body.value("task", std::string{});
    const auto late = received.path == "/api/run-start" && m_world.startDelay ? m_world.startDelay(*this, task) : 0;
    if (late == 0) {
        carryOut(received, answer);
        return;
    }
    m_world.note("start of " + task + " at " + id + " gets no answer and is late by " + std::to_string(late) + " ms");
    m_unanswered.push_back(answer);
    // Carried out by whatever life the worker has by then.
    m_world.later(late, [&in = m_world, name = id, received] {
        if (const auto found = in.workers.find(name); found != in.workers.end() && found->second->alive) {
            in.note("a late call is carried out at " + name);
            found->second->carryOut(received, [](int, const std::string &) {});
        }
    });
}

auto worker::carryOut(const call &received, const reply &answer) -> void
{
    const auto body = json::parse(received.body);
    const auto fence = body.value("fencing_token", std::uint64_t{0});
    if (fence < m_fence) {
        refuse("fence", answer);
        return;
    }
    m_fence = fence;
    if (received.path == "/api/run-start") {
        startRun(body, answer);
    } else if (received.path == "/api/run-stop") {
        stopRun(body, answer);
    } else if (received.path == "/api/hold") {
        hold(body, answer);
    } else {
        answer(200, json{{"clock_ms", clock()}, {"born", m_born}}.dump());
    }
}

auto worker::startRun(const json &body, const reply &answer) -> void
{
    const auto task = body["task"].get<std::string>();
    const auto number = body["run_id"].get<std::uint32_t>();
    const auto job = m_world.jobs.find(jobOf(task));
    const auto present = running.find(task);
    if (body.value("deadline_ms", std::int64_t{0}) <= clock()) {
        refuse("late", answer);
        return;
    }
    extend(body);
    if (present != running.end() && present->second.number == number) {
        answer(200, json{{"clock_ms", clock()}, {"born", m_born}}.dump());
        return;
    }
    if (const auto closed = m_closed.find(task); closed != m_closed.end() && number <= closed->second) {
        refuse("old", answer);
        return;
    }
    if (job == m_world.jobs.end()) {
        m_world.note("worker " + id + " is told to start " + task + ", which no client sent");
        answer(400, "{}");
        return;
    }
    const auto stepName = stepOf(task);
    const auto number0 = std::stoul(stepName.substr(stepName.rfind('.') + 1));
    const auto &facts = job->second.steps.at(number0);
    if (facts.advised) {
        const auto ticket = m_world.tickets.find(stepName + "/" + id + "/" + body.value("ticket", std::string{}));
        if (ticket == m_world.tickets.end() || steady::now() > ticket->second) {
            m_world.note("worker " + id + " refuses " + task + ": ticket");
            refuse("ticket", answer);
            return;
        }
    }
    std::int64_t used = facts.cpu;
    for (const auto &[other, entry] : running) {
        used += entry.facts.cpu;
    }
    if (used > cpu) {
        m_world.note("worker " + id + " refuses " + task + ": room");
        refuse("room", answer);
        return;
    }
    run entry;
    entry.number = number;
    entry.since = steady::now();
    entry.facts = facts;
    entry.step = stepName;
    if (!facts.gang) {
        entry.workingSince = entry.since;
    }
    if (m_world.onStart) {
        m_world.onStart(*this, task, number);
    }
    running[task] = entry;
    ++m_world.starts[jobOf(task)];
    m_world.note("worker " + id + " starts " + task + " run " + std::to_string(number));
    answer(200, json{{"clock_ms", clock()}, {"born", m_born}}.dump());
}

auto worker::stopRun(const json &body, const reply &answer) -> void
{
    const auto task = body["task"].get<std::string>();
    const auto number = body["run_id"].get<std::uint32_t>();
    const auto present = running.find(task);
    if (present != running.end() && present->second.number == number) {
        present->second.stopAt = steady::now() + std::chrono::milliseconds{m_world.stopMs};
    } else {
        auto &closed = m_closed[task];
        closed = std::max(closed, number);
    }
    answer(200, json{{"clock_ms", clock()}, {"born", m_born}}.dump());
}

auto worker::hold(const json &body, const reply &answer) -> void
{
    extend(body);
    const auto seen = body.value("last_seen", std::uint64_t{0});
    while (!m_ended.empty() && m_ended.front().number <= seen) {
        if (m_ended.front().how == "done" && m_world.noted.insert(m_ended.front().task).second) {
            m_world.note("end of " + m_ended.front().task + " as done is taken note of");
        }
        m_ended.pop_front();
    }
    const auto wait = body.value("wait_ms", 0);
    if (m_ended.empty() && wait > 0) {
        m_polls.emplace_back(steady::now() + std::chrono::milliseconds{std::min(wait, 2000)}, answer);
    } else {
        report(answer);
    }
}

auto worker::report(const reply &answer) -> void
{
    auto runs = json::array();
    for (const auto &[task, entry] : running) {
        std::int64_t percent = 0;
        if (entry.workingSince) {
            const auto age = millisecondsSince(*entry.workingSince);
            const auto whole = entry.facts.longRunning ? 500 : std::max(entry.facts.workMs, 1);
            percent = std::min<std::int64_t>(age * 100 / whole, entry.facts.longRunning ? 100 : 99);
        }
        runs.push_back({task, entry.number, "", percent, entry.facts.cpu});
    }
    auto ends = json::array();
    for (const auto &entry : m_ended) {
        if (ends.size() == 500) {
            break;
        }
        ends.push_back({entry.number, entry.task, entry.run, entry.how, ""});
    }
    answer(200, json{{"clock_ms", clock()}, {"born", m_born}, {"running", runs}, {"ended", ends}}.dump());
}

auto worker::end(const std::string &task, const std::string &how) -> void
{
    const auto found = running.find(task);
    if (found == running.end()) {
        return;
    }
    const auto entry = found->second;
    running.erase(found);
    auto &closed = m_closed[task];
    closed = std::max(closed, entry.number);
    m_ended.push_back({++m_lastEnd, task, entry.number, how});
    if (how == "done") {
        m_world.done[jobOf(task)].insert(task);
    }
    m_world.note("worker " + id + " ends " + task + " run " + std::to_string(entry.number) + " " + how);
    if (entry.facts.gang && how != "done") {
        for (const auto &[name, other] : m_world.workers) {
            std::vector<std::string> members;
            for (const auto &[otherTask, otherRun] : other->running) {
                if (otherRun.step == entry.step && otherRun.number == entry.number) {
                    members.push_back(otherTask);
                }
            }
            for (const auto &member : members) {
                other->end(member, "broken");
            }
        }
    }
}

auto worker::tick() -> void
{
    if (!alive) {
        return;
    }
    const auto now = steady::now();
    std::vector<std::pair<std::string, std::string>> ends;
    const bool lapsed = clock() >= m_deadline;
    for (auto &[task, entry] : running) {
        if (lapsed) {
            ends.emplace_back(task, "lapsed");
        } else if (entry.stopAt && now >= *entry.stopAt) {
            ends.emplace_back(task, "stopped");
        } else if (entry.facts.gang && !entry.workingSince) {
            std::size_t present = 0;
            for (const auto &[name, other] : m_world.workers) {
                for (const auto &[otherTask, otherRun] : other->running) {
                    present += otherRun.step == entry.step && otherRun.number == entry.number ? 1 : 0;
                }
            }
            if (present == entry.facts.count) {
                for (const auto &[name, other] : m_world.workers) {
                    for (auto &[otherTask, otherRun] : other->running) {
                        if (otherRun.step == entry.step && otherRun.number == entry.number) {
                            otherRun.workingSince = now;
                        }
                    }
                }
                m_world.note("gang " + entry.step + " run " + std::to_string(entry.number) + " is complete");
            } else if (now - entry.since >= std::chrono::milliseconds{m_world.gangTimeoutMs}) {
                ends.emplace_back(task, "alone");
            }
        } else if (entry.workingSince && !entry.facts.longRunning
                   && now - *entry.workingSince >= std::chrono::milliseconds{entry.facts.workMs}) {
            ends.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : ends) {
        end(task, how);
    }
    auto polls = std::exchange(m_polls, {});
    for (auto &[until, answer] : polls) {
        if (now < cutUntil) {
            m_unanswered.push_back(std::move(answer));
        } else if (!m_ended.empty() || now >= until) {
            report(answer);
        } else {
            m_polls.emplace_back(until, std::move(answer));
        }
    }
}

// World

world::world(const std::string &recordPath)
    : work{asio::make_work_guard(loop)}
    , record{recordPath}
    , startedAt{steady::now()}
    , log{loop}
{
    std::string pattern = (std::filesystem::temp_directory_path() / "world-3-XXXXXX").string();
    folder = mkdtemp(pattern.data());
    storeServer = std::make_shared<server>(
        loop, [this](const call &received, reply answer) { log.handle(received, std::move(answer)); });
    machineServer = std::make_shared<server>(
        loop, [this](const call &received, reply answer) { handleMachines(received, std::move(answer)); });
    adviceServer = std::make_shared<server>(
        loop, [this](const call &received, reply answer) { handleAdvice(received, std::move(answer)); });
    storeServer->listen();
    machineServer->listen();
    adviceServer->listen();
    auto ticking = std::make_shared<std::function<void()>>();
    *ticking = [this, ticking] {
        for (const auto &[id, entry] : workers) {
            entry->tick();
        }
        later(5, *ticking);
    };
    later(5, *ticking);
    thread = std::thread{[this] {
        loop.run();
    }};
}

world::~world()
{
    endAll();
    loop.stop();
    thread.join();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder, ignored);
    }
}

auto world::seconds() const -> double
{
    return static_cast<double>(millisecondsSince(startedAt)) / 1000.0;
}

auto world::note(const std::string &line) -> void
{
    const std::lock_guard lock{recordLock};
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", seconds());
    record << time << line << '\n' << std::flush;
}

auto world::do_on_loop(std::function<void()> action) -> void
{
    std::promise<void> finished;
    asio::post(loop, [&] {
        action();
        finished.set_value();
    });
    finished.get_future().wait();
}

auto world::later(int ms, std::function<void()> action) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(loop, std::chrono::milliseconds{ms});
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &problem) {
        if (!problem) {
            action();
        }
    });
}

auto world::addMachine(const std::string &name, const std::string &pool, const std::string &rack) -> void
{
    machines[name] = machine_state{pool, "up", rack, "", 0, {}};
    startWorker(name);
}

auto world::startWorker(const std::string &machine, unsigned short port, const std::string &sameId)
    -> std::shared_ptr<worker>
{
    auto &state = machines.at(machine);
    const auto id = sameId.empty() ? "i-" + std::to_string(++workerSerial) : sameId;
    auto started = std::make_shared<worker>(*this, id, machine, state.pool, state.rack);
    workers[id] = started;
    state.worker = id;
    state.state = "up";
    started->start(port);
    return started;
}

// The entry in the store goes after three heartbeat intervals of silence.
auto world::crashMachine(const std::string &name) -> void
{
    auto &state = machines.at(name);
    const auto id = state.worker;
    workers.at(id)->crash();
    state.state = "down";
    state.worker = "";
    later(3 * heartbeatMs, [this, id] { log.put("keyed.servers", id, ""); });
}

// The worker is cut off, crashes behind the cut and starts again under its identifier and address.
auto world::restartBehindCut(const std::string &machine, int cutMs) -> void
{
    auto &state = machines.at(machine);
    const auto id = state.worker;
    const auto former = workers.at(id);
    note("worker " + id + " is cut off for " + std::to_string(cutMs) + " ms and starts again behind the cut");
    const auto address = former->listener->address();
    former->fallSilent();
    former->listener->leave();
    former->listener = nullptr;
    const auto next =
        startWorker(machine, static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1))), id);
    next->cutUntil = steady::now() + std::chrono::milliseconds{cutMs};
    cutOff.push_back(former);
}

// The machine falls silent and is listed as down. It comes back with a worker under the former identifier and address,
// which is cut off at once.
auto world::crashAndReturn(const std::string &machine, int downMs, int cutMs) -> void
{
    auto &state = machines.at(machine);
    const auto id = state.worker;
    const auto former = workers.at(id);
    const auto address = former->listener->address();
    former->fallSilent();
    state.state = "down";
    state.worker = "";
    later(downMs, [this, machine, id, former, address, cutMs] {
        former->listener->leave();
        former->listener = nullptr;
        cutOff.push_back(former);
        const auto next =
            startWorker(machine, static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1))), id);
        next->cutUntil = steady::now() + std::chrono::milliseconds{cutMs};
        note("worker " + id + " is back and cut off for " + std::to_string(cutMs) + " ms");
    });
}

// The address goes to a worker of another service.
auto world::loseMachine(const std::string &name, int reuseMs, const std::string &pool) -> void
{
    auto &state = machines.at(name);
    const auto id = state.worker;
    const auto lost = workers.at(id);
    lost->fallSilent();
    state.state = "down";
    state.worker = "";
    later(3 * heartbeatMs, [this, id] { log.put("keyed.servers", id, ""); });
    later(reuseMs, [this, lost, name, pool] {
        const auto address = lost->listener->address();
        lost->listener->leave();
        const auto other = name + "-reused";
        machines[other] = machine_state{pool, "up", "r9", "", 0, {}};
        startWorker(other, static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1))));
    });
}

auto world::startSystem(int hosts, const std::string &program) -> void
{
    binary = program;
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGALRM, SIGABRT, SIGSEGV}) {
        std::signal(signal, endProcesses);
    }
    alarm(longestRunS);
    for (int number = 1; number <= hosts; ++number) {
        system_process process;
        process.name = "edge-" + std::to_string(number);
        const auto ip = hostAddress(number);
        const auto addresses = freeAddresses(ip, 4);
        process.callers = addresses[0];
        process.config = folder + "/" + process.name + ".toml";
        process.log = folder + "/" + process.name + ".log";
        std::ofstream out{process.config};
        out << "name = \"" << process.name << "\"\nzone = \"z1\"\nlog_level = \"info\"\n\n[listen]\ncallers = \""
            << process.callers << "\"\nreadiness = \"" << addresses[1] << "\"\npeers = \"" << addresses[2]
            << "\"\nmetrics = \"" << addresses[3] << "\"\n\n[platform]\nstore = \"" << storeServer->address()
            << "\"\nhost_service = \"" << machineServer->address() << "\"\nadvice = [\"" << adviceServer->address()
            << "\"]\n\n[size]\nprocessor_share = 0.25\nprocessor_speed = 1\nlink_mbps = 1000.0\n\n[timing]\n"
            << "stop_grace_s = 6\nholder_term_ms = 3000\n";
        out.close();
        processes.push_back(process);
    }
    for (auto &process : processes) {
        startProcess(process);
    }
}

auto world::startProcess(system_process &process) -> void
{
    const std::string command = binary;
    std::vector<std::string> words{command, "host", "--config", process.config};
    std::vector<char *> arguments;
    for (auto &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, process.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    posix_spawn(&process.pid, command.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    startedProcesses[static_cast<std::size_t>(&process - processes.data())] = process.pid;
    note("process " + process.name + " starts");
}

auto world::endAll() -> void
{
    for (auto &process : processes) {
        if (process.pid > 0) {
            kill(process.pid, SIGCONT);
            kill(process.pid, SIGKILL);
            waitpid(process.pid, nullptr, 0);
            process.pid = 0;
        }
    }
}

// By the logs: the last process that serves as owner.
auto world::owner() -> system_process *
{
    system_process *found = nullptr;
    std::string newest;
    for (auto &process : processes) {
        std::ifstream in{process.log};
        std::string line;
        while (std::getline(in, line)) {
            if (line.find("event=owner_elected") != std::string::npos && line.substr(0, 30) > newest) {
                newest = line.substr(0, 30);
                found = &process;
            }
        }
    }
    return found;
}

auto world::waitReady(int ms) -> bool
{
    const auto until = steady::now() + std::chrono::milliseconds{ms};
    while (steady::now() < until) {
        bool served = true;
        for (const auto &process : processes) {
            served = served && request(process.callers, "GET", "/q0/", "h.example", "", 1000).status == 200;
        }
        if (served) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
    return false;
}

auto world::submit(const std::string &path, const std::string &id, const json &body,
                   const std::vector<step_facts> &steps) -> bool
{
    do_on_loop([&] { jobs[id] = job_facts{steps, body.value("spec", std::string{})}; });
    for (int attempt = 0; attempt < 6; ++attempt) {
        const auto &process = processes[static_cast<std::size_t>(attempt) % processes.size()];
        const auto got = request(process.callers, "POST", path + id, "h.example", body.dump(), 3000);
        note("client sends " + id + " to " + process.name + ": " + std::to_string(got.status));
        if (got.status >= 200 && got.status < 300) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{300});
    }
    return false;
}

auto world::state(const std::string &path, const std::string &id) -> std::string
{
    for (int attempt = 0; attempt < 4; ++attempt) {
        const auto &process = processes[static_cast<std::size_t>(attempt) % processes.size()];
        const auto got = request(process.callers, "GET", path + id, "h.example", "", 3000);
        if (got.status == 200) {
            const auto body = json::parse(got.body, nullptr, false);
            return body.is_discarded() ? "unreadable" : body.value("state", std::string{"none"});
        }
        if (got.status == 410) {
            return "410";
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
    }
    return "no answer";
}

auto world::runsOf(const std::string &job) -> std::size_t
{
    std::size_t count = 0;
    do_on_loop([&] {
        for (const auto &[id, entry] : workers) {
            for (const auto &[task, run] : entry->running) {
                count += jobOf(task) == job ? 1 : 0;
            }
        }
    });
    return count;
}

auto world::startsOf(const std::string &job) -> std::size_t
{
    std::size_t count = 0;
    do_on_loop([&] { count = starts[job]; });
    return count;
}

// Service for machines

auto world::beginUpkeep(const std::string &machine, int wave, std::uint64_t fence) -> std::string
{
    auto &state = machines.at(machine);
    if (fence < state.fence) {
        return "fence";
    }
    state.fence = fence;
    if (state.maintained.contains(wave)) {
        return "";
    }
    if (state.state != "up") {
        return "busy";
    }
    if (onUpkeep) {
        onUpkeep(machine, wave);
    }
    state.maintained.insert(wave);
    const auto id = state.worker;
    workers.at(id)->crash();
    state.state = "upkeep";
    state.worker = "";
    log.put("keyed.servers", id, "");
    note("upkeep of " + machine + " for wave " + std::to_string(wave) + " begins, token " + std::to_string(fence));
    later(maintenanceMs, [this, machine] { startWorker(machine); });
    return "";
}

auto world::handleMachines(const call &received, reply answer) -> void
{
    if (received.method == "GET") {
        auto list = json::array();
        for (const auto &[name, entry] : machines) {
            json item{{"machine", name},
                      {"pool", entry.pool},
                      {"state", entry.state},
                      {"zone", "z1"},
                      {"labels", {"a", entry.rack}},
                      {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}}};
            item["id"] = entry.worker.empty() ? json(nullptr) : json(entry.worker);
            list.push_back(item);
        }
        answer(200, json{{"machines", list}, {"next_token", nullptr}}.dump());
        return;
    }
    const auto body = json::parse(received.body, nullptr, false);
    const auto machine = body.value("machine", std::string{});
    if (!machines.contains(machine)) {
        answer(400, "{}");
        return;
    }
    const auto token = received.headers.contains("poplarpass-fencing-token")
        ? std::stoull(received.headers.at("poplarpass-fencing-token"))
        : 0;
    if (received.path != "/api/machine-upkeep") {
        answer(400, "{}");
        return;
    }
    const auto wave = body.value("wave", 0);
    const auto late = upkeepDelay ? upkeepDelay(machine, wave) : 0;
    note("order of " + received.headers.at("poplarpass-lease-holder") + ", token " + std::to_string(token)
         + ": upkeep of " + machine + (late > 0 ? ", late by " + std::to_string(late) + " ms" : ""));
    if (late > 0) {
        // Kept open without an answer.
        later(late, [this, machine, wave, token, answer] { beginUpkeep(machine, wave, token); });
        return;
    }
    const auto problem = beginUpkeep(machine, wave, token);
    problem.empty() ? answer(200, "{}") : answer(409, json{{"reason", problem}}.dump());
}

// Advice

auto world::handleAdvice(const call &received, reply answer) -> void
{
    if (adviceQueue.size() >= 32) {
        note("advice refuses a call: 32 wait");
        answer(429, "{}");
        return;
    }
    adviceQueue.push_back({json::parse(received.body), std::move(answer), seconds(), received.isOpen});
    adviceMost = std::max(adviceMost, adviceQueue.size());
    if (!adviceBusy) {
        advise();
    }
}

auto world::advise() -> void
{
    while (adviceDropsAbandoned && !adviceQueue.empty() && !adviceQueue.front().isOpen()) {
        adviceQueue.pop_front();
    }
    if (adviceQueue.empty()) {
        adviceBusy = false;
        return;
    }
    adviceBusy = true;
    const auto count = static_cast<int>(adviceQueue.front().body["workers"].size());
    later(adviceDecideMs + advicePeriodMs * count, [this] {
        const auto served = std::move(adviceQueue.front());
        adviceQueue.pop_front();
        auto allowed = json::array();
        const auto step = served.body["step"].get<std::string>();
        for (const auto &name : served.body["workers"]) {
            const auto ticket = "t" + std::to_string(++ticketSerial);
            tickets[step + "/" + name.get<std::string>() + "/" + ticket] =
                steady::now() + std::chrono::milliseconds{adviceValidMs};
            allowed.push_back({name, ticket});
        }
        ++adviceAnswered;
        char waited[32];
        std::snprintf(waited, sizeof(waited), "%.2f", seconds() - served.receivedAt);
        note("advice for " + step + " on " + std::to_string(served.body["workers"].size()) + " workers after " + waited
             + " s");
        served.answer(200, json{{"allowed", allowed}, {"valid_ms", adviceValidMs}}.dump());
        advise();
    });
}
} // namespace world3
