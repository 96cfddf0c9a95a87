#pragma once

#include <poplarpass/request.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Stepped-clock simulation of one pool under load surges, for comparing placement and admission policies.
namespace bench
{
namespace core = poplarpass::core;
namespace platform = poplarpass::platform;
namespace request = poplarpass::request;
using namespace std::chrono_literals;

inline constexpr int entryCount = 6;
inline constexpr int workerCount = 10;
inline constexpr int slotsPerWorker = 8;
inline constexpr auto surgePeriod = 15s;
inline constexpr auto surgeLength = 3s;
inline constexpr auto runLength = 90s;
inline constexpr auto networkDelay = 500us;
inline constexpr auto reportInterval = 1s;
inline constexpr auto reportLag = 300ms;
inline constexpr auto checkpointTime = 300ms;

/// \brief Results of one run.
struct surge_result
{
    double urgentStartP99Ms = 0.0;
    double normalStartP99Ms = 0.0;
    double urgentOverBound = 0.0; ///< Share of urgent jobs that started after urgentStartBound or never.
    double refused = 0.0; ///< Share of urgent and normal jobs rejected by admission.
    double late = 0.0; ///< Share of urgent and normal jobs that expired or finished after their deadline.
    double busyInSurge = 0.0; ///< Busy share of the slot-seconds during surges.
    double busy = 0.0; ///< Busy share of the slot-seconds over the whole run.
    double rejections = 0.0; ///< Starts rejected by a full worker, per started job.
};

/// \brief Arrival pattern of the jobs.
enum class load {
    surges, ///< Five times the mean in surges, a twentieth in between, with long batch jobs always queued.
    steady, ///< 70 % of the pool's capacity, without batch jobs.
};

/// \brief Simulates one run of a placement policy, with the admission queue or with one FIFO queue per entry.
class surge_sim
{
public:
    surge_sim(std::string_view policy, bool useAdmissionQueue, load pattern, std::uint64_t seed)
        : m_random{seed}
        , m_useAdmissionQueue{useAdmissionQueue}
        , m_load{pattern}
    {
        for (int index = 0; index < entryCount; ++index) {
            m_entries.push_back(std::make_unique<entry>(*request::placementByName(policy)));
            m_entries.back()->queue.setCapacity(workerCount * slotsPerWorker / entryCount);
            for (int worker = 0; worker < workerCount; ++worker) {
                m_entries.back()->pool.addOrUpdate(viewOf(worker));
            }
        }
        m_used.resize(workerCount);
        m_history.resize(workerCount);
    }

    auto run() -> surge_result
    {
        for (int index = 0; index < entryCount; ++index) {
            after(0us, [this, index] { scheduleArrival(index, request::urgency::urgent); });
            after(0us, [this, index] { scheduleArrival(index, request::urgency::normal); });
            if (m_load == load::surges) {
                after(0us, [this, index] { refillBatch(index); });
            }
            for (int worker = 0; worker < workerCount; ++worker) {
                after(between(0us, reportInterval), [this, index, worker] { report(index, worker); });
            }
            after(between(0us, 20ms), [this, index] { tick(index); });
        }
        while (!m_events.empty() && m_events.top().due <= m_start + runLength) {
            auto next = m_events.top();
            m_events.pop();
            integrate(next.due);
            m_now = next.due;
            next.run();
        }
        return results();
    }

private:
    using time = core::monotonic_time;

    struct event
    {
        time due;
        std::uint64_t order;
        std::function<void()> run;
        auto operator>(const event &other) const -> bool
        {
            return std::pair{due, order} > std::pair{other.due, other.order};
        }
    };

    struct job
    {
        request::urgency level = request::urgency::normal;
        time arrived;
        time deadline = request::noDeadline;
        core::duration remaining{};
        time startedAt;
        int worker = -1;
        std::uint64_t run = 0;
        bool started = false;
        bool counted = false;
    };

    struct entry
    {
        explicit entry(request::placement_policy policy)
            : pool{std::move(policy)}
            , queue{request::maxQueuedPerPool}
        {
        }
        request::worker_pool pool;
        request::admission_queue queue;
        std::deque<request::ticket_id> fifo;
        std::map<request::ticket_id, job> jobs;
    };

    static auto viewOf(int worker) -> request::worker_view
    {
        request::worker_view view;
        view.host = hostOf(worker);
        view.zone = core::zone_id{std::to_string(worker % 3)};
        view.slots = slotsPerWorker;
        view.connections = 64;
        view.cores = 16;
        view.memoryMb = 32'768;
        return view;
    }

    static auto hostOf(int worker) -> core::host_id
    {
        return core::host_id{"w" + std::to_string(worker)};
    }

    auto after(core::duration delay, std::function<void()> run) -> void
    {
        m_events.push({m_now + delay, ++m_order, std::move(run)});
    }

    auto between(core::duration low, core::duration high) -> core::duration
    {
        return core::duration{std::uniform_int_distribution{low.count(), high.count()}(m_random)};
    }

    auto inSurge(time at) const -> bool
    {
        return (at - m_start) % surgePeriod < surgeLength;
    }

    auto scheduleArrival(int index, request::urgency level) -> void
    {
        const double mean = (level == request::urgency::urgent ? 100.0 : 60.0) / entryCount;
        const double rate = mean * (m_load == load::steady ? 1.45 : inSurge(m_now) ? 5.0 : 0.05);
        const double pause = std::exponential_distribution{rate}(m_random);
        const auto untilChange = inSurge(m_now) ? surgeLength - (m_now - m_start) % surgePeriod
                                                : surgePeriod - (m_now - m_start) % surgePeriod;
        const auto wait = std::min<core::duration>(core::duration{static_cast<std::int64_t>(pause * 1e6)}, untilChange);
        const bool arrives = wait < untilChange;
        after(std::max<core::duration>(wait, 1us), [this, index, level, arrives] {
            if (arrives) {
                submit(index, level);
            }
            scheduleArrival(index, level);
        });
    }

    auto submit(int index, request::urgency level) -> void
    {
        const bool urgent = level == request::urgency::urgent;
        std::lognormal_distribution<double> times{std::log(urgent ? 130'000.0 : 350'000.0), 0.5};
        job newJob;
        newJob.level = level;
        newJob.arrived = m_now;
        newJob.deadline = m_now + (urgent ? 5s : 10s);
        newJob.remaining = core::duration{static_cast<std::int64_t>(times(m_random))};
        ++m_submitted;
        m_urgentSubmitted += urgent ? 1 : 0;
        enqueue(index, newJob);
        dispatch(index);
    }

    auto enqueue(int index, const job &newJob) -> void
    {
        auto &node = *m_entries[static_cast<std::size_t>(index)];
        const auto ticket = ++m_lastTicket;
        if (!m_useAdmissionQueue) {
            node.jobs[ticket] = newJob;
            node.fifo.push_back(ticket);
            return;
        }
        const auto expected = newJob.level == request::urgency::urgent ? 130ms
            : newJob.level == request::urgency::normal                 ? 350ms
                                                                       : 40s;
        const core::team_id team{"t" + std::to_string(m_random() % 210)};
        if (node.queue.submit({ticket, team, newJob.level, expected, newJob.deadline}, m_now)) {
            node.jobs[ticket] = newJob;
        } else {
            ++m_refused;
        }
    }

    // Keeps six batch jobs queued, as under long nightly work.
    auto refillBatch(int index) -> void
    {
        auto &node = *m_entries[static_cast<std::size_t>(index)];
        const auto waiting = std::ranges::count_if(node.jobs, [](const auto &entry) {
            return entry.second.level == request::urgency::batch && entry.second.worker < 0;
        });
        for (auto toAdd = 6 - waiting; toAdd > 0; --toAdd) {
            job newJob;
            newJob.level = request::urgency::batch;
            newJob.remaining = between(20s, 60s);
            enqueue(index, newJob);
        }
        dispatch(index);
        after(200ms, [this, index] { refillBatch(index); });
    }

    auto tick(int index) -> void
    {
        auto &node = *m_entries[static_cast<std::size_t>(index)];
        if (m_useAdmissionQueue) {
            for (const auto ticket : node.queue.expire(m_now)) {
                recordExpired(node, ticket);
            }
            for (const auto ticket : node.queue.preemptBatchJobs(node.pool.freeSlots(), m_now)) {
                checkpoint(index, ticket);
            }
        }
        dispatch(index);
        after(20ms, [this, index] { tick(index); });
    }

    auto recordExpired(entry &node, request::ticket_id ticket) -> void
    {
        ++m_late;
        m_neverStarted += node.jobs[ticket].level == request::urgency::urgent ? 1 : 0;
        node.jobs.erase(ticket);
    }

    auto dispatch(int index) -> void
    {
        auto &node = *m_entries[static_cast<std::size_t>(index)];
        while (true) {
            const auto *worker = node.pool.choose({}, m_random);
            if (worker == nullptr) {
                return;
            }
            const auto host = worker->host;
            const auto ticket = nextJob(node);
            if (!ticket) {
                return;
            }
            send(index, *ticket, host);
        }
    }

    auto nextJob(entry &node) -> std::optional<request::ticket_id>
    {
        if (m_useAdmissionQueue) {
            return node.queue.next(node.pool.freeSlots(), m_now);
        }
        while (!node.fifo.empty()) {
            const auto ticket = node.fifo.front();
            node.fifo.pop_front();
            if (node.jobs[ticket].deadline > m_now) {
                return ticket;
            }
            recordExpired(node, ticket);
        }
        return std::nullopt;
    }

    auto send(int index, request::ticket_id ticket, const core::host_id &host) -> void
    {
        auto &node = *m_entries[static_cast<std::size_t>(index)];
        const auto worker = std::stoi(host.str().substr(1));
        node.jobs[ticket].worker = worker;
        node.pool.sent(host, m_now);
        after(networkDelay,
              [this, index, ticket, worker, sentAt = m_now] { startReceived(index, ticket, worker, sentAt); });
    }

    auto startReceived(int index, request::ticket_id ticket, int worker, time sentAt) -> void
    {
        auto &node = *m_entries[static_cast<std::size_t>(index)];
        auto &job = node.jobs[ticket];
        if (m_used[static_cast<std::size_t>(worker)] >= slotsPerWorker) {
            ++m_rejected;
            after(networkDelay,
                  [this, index, ticket, worker, sentAt] { startRejected(index, ticket, worker, sentAt); });
            return;
        }
        changeUsedSlots(worker, 1);
        ++m_started;
        job.startedAt = m_now;
        const auto run = ++job.run;
        if (!job.started) {
            job.started = true;
            recordFirstStart(job);
        }
        after(job.remaining,
              [this, index, ticket, worker, sentAt, run] { finish(index, ticket, worker, sentAt, run); });
    }

    auto startRejected(int index, request::ticket_id ticket, int worker, time sentAt) -> void
    {
        auto &node = *m_entries[static_cast<std::size_t>(index)];
        node.pool.ended(hostOf(worker), sentAt);
        node.pool.rejectedNoSlot(hostOf(worker));
        requeue(node, ticket);
        dispatch(index);
    }

    auto requeue(entry &node, request::ticket_id ticket) -> void
    {
        node.jobs[ticket].worker = -1;
        if (m_useAdmissionQueue) {
            node.queue.requeue(ticket, m_now);
        } else {
            node.fifo.push_front(ticket);
        }
    }

    auto finish(int index, request::ticket_id ticket, int worker, time sentAt, std::uint64_t run) -> void
    {
        auto &node = *m_entries[static_cast<std::size_t>(index)];
        const auto found = node.jobs.find(ticket);
        if (found == node.jobs.end() || found->second.run != run || found->second.worker < 0) {
            return;
        }
        changeUsedSlots(worker, -1);
        m_late += m_now + networkDelay > found->second.deadline ? 1 : 0;
        after(networkDelay, [this, index, ticket, worker, sentAt] {
            auto &current = *m_entries[static_cast<std::size_t>(index)];
            current.pool.ended(hostOf(worker), sentAt);
            current.jobs.erase(ticket);
            current.queue.finished(ticket);
            dispatch(index);
        });
        found->second.run = 0;
    }

    // The job saves its progress, releases its slot and is requeued.
    auto checkpoint(int index, request::ticket_id ticket) -> void
    {
        const auto run = m_entries[static_cast<std::size_t>(index)]->jobs[ticket].run;
        after(checkpointTime, [this, index, ticket, run] {
            auto &node = *m_entries[static_cast<std::size_t>(index)];
            const auto found = node.jobs.find(ticket);
            if (found == node.jobs.end() || found->second.run != run || run == 0) {
                return;
            }
            auto &job = found->second;
            job.remaining = std::max<core::duration>(job.remaining - (m_now - job.startedAt), 1ms);
            changeUsedSlots(job.worker, -1);
            node.pool.ended(hostOf(job.worker), job.startedAt - networkDelay);
            ++job.run;
            requeue(node, ticket);
            dispatch(index);
        });
    }

    auto report(int index, int worker) -> void
    {
        const auto &history = m_history[static_cast<std::size_t>(worker)];
        int used = 0;
        for (const auto &[at, value] : history) {
            used = at <= m_now - reportLag ? value : used;
        }
        platform::lease_response figures;
        figures.usedSlots = used;
        figures.usedConnections = used;
        m_entries[static_cast<std::size_t>(index)]->pool.report(hostOf(worker), figures, m_now);
        dispatch(index);
        after(reportInterval, [this, index, worker] { report(index, worker); });
    }

    auto changeUsedSlots(int worker, int delta) -> void
    {
        auto &used = m_used[static_cast<std::size_t>(worker)];
        used += delta;
        m_totalUsed += delta;
        auto &history = m_history[static_cast<std::size_t>(worker)];
        history.emplace_back(m_now, used);
        while (history.size() > 1 && history[1].first <= m_now - reportLag) {
            history.pop_front();
        }
    }

    auto integrate(time until) -> void
    {
        const double seconds = std::chrono::duration<double>(until - m_now).count();
        m_busySeconds += seconds * m_totalUsed;
        if (inSurge(m_now)) {
            m_surgeBusySeconds += seconds * m_totalUsed;
            m_surgeSeconds += seconds;
        }
    }

    auto recordFirstStart(const job &started) -> void
    {
        const double wait = std::chrono::duration<double, std::milli>(m_now - started.arrived).count();
        if (started.level == request::urgency::urgent) {
            m_urgentWaits.push_back(wait);
        } else if (started.level == request::urgency::normal) {
            m_normalWaits.push_back(wait);
        }
    }

    static auto p99(std::vector<double> &values) -> double
    {
        if (values.empty()) {
            return 0.0;
        }
        const auto rank = static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
        std::ranges::nth_element(values, values.begin() + rank);
        return values[static_cast<std::size_t>(rank)];
    }

    auto results() -> surge_result
    {
        const auto over = std::ranges::count_if(m_urgentWaits, [](double wait) { return wait > 1900.0; });
        const double slots = workerCount * slotsPerWorker;
        surge_result result;
        result.urgentStartP99Ms = p99(m_urgentWaits);
        result.normalStartP99Ms = p99(m_normalWaits);
        result.urgentOverBound = static_cast<double>(over + m_neverStarted) / m_urgentSubmitted;
        result.refused = static_cast<double>(m_refused) / m_submitted;
        result.late = static_cast<double>(m_late) / m_submitted;
        result.busyInSurge = m_surgeBusySeconds / (m_surgeSeconds * slots);
        result.busy = m_busySeconds / (std::chrono::duration<double>(runLength).count() * slots);
        result.rejections = static_cast<double>(m_rejected) / static_cast<double>(m_started);
        return result;
    }

    std::mt19937_64 m_random;
    bool m_useAdmissionQueue;
    load m_load;
    time m_start{1h};
    time m_now = m_start;
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::vector<int> m_used;
    std::vector<std::deque<std::pair<time, int>>> m_history;
    request::ticket_id m_lastTicket = 0;
    std::vector<double> m_urgentWaits;
    std::vector<double> m_normalWaits;
    int m_totalUsed = 0;
    int m_submitted = 0;
    int m_urgentSubmitted = 0;
    int m_refused = 0;
    int m_late = 0;
    int m_neverStarted = 0;
    std::uint64_t m_rejected = 0;
    std::uint64_t m_started = 0;
    double m_busySeconds = 0.0;
    double m_surgeBusySeconds = 0.0;
    double m_surgeSeconds = 0.0;
};
} // namespace bench
