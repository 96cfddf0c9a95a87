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

/// Stepped-clock simulation of one pool under surges, for comparing placement and admission.
namespace bench
{
namespace core = poplarpass::core;
namespace platform = poplarpass::platform;
namespace request = poplarpass::request;
using namespace std::chrono_literals;

inline constexpr int entryCount = 6;
inline constexpr int workerCount = 10;
inline constexpr int slotsPerWorker = 8;
inline constexpr auto cycle = 15s;
inline constexpr auto surge = 3s;
inline constexpr auto length = 90s;
inline constexpr auto hop = 500us;
inline constexpr auto reportInterval = 1s;
inline constexpr auto usageLag = 300ms;
inline constexpr auto checkpointTime = 300ms;

/// \brief What one run showed.
struct surge_result
{
    double urgentStartP99Ms = 0.0;
    double normalStartP99Ms = 0.0;
    double urgentOverBound = 0.0; ///< Share of urgent jobs that started after urgentStartBound or never.
    double refused = 0.0; ///< Share of urgent and normal jobs refused.
    double late = 0.0; ///< Share of urgent and normal jobs accepted and done after their deadline, or expired.
    double busyInSurge = 0.0; ///< Busy share of slot-seconds in the surges.
    double busy = 0.0; ///< Busy share of slot-seconds over the run.
    double rejections = 0.0; ///< Starts refused by a full worker, for each job started.
};

/// \brief How much arrives.
enum class load {
    surges, ///< Five times the mean, then a twentieth, with long batch work always waiting.
    steady, ///< Seven tenths of the pool, without batch work.
};

/// \brief One run: a policy, with our admission or with one first-in-first-out queue for each entry.
class surge_sim
{
public:
    surge_sim(std::string_view policy, bool admission, load pattern, std::uint64_t seed)
        : m_random{seed}
        , m_admission{admission}
        , m_load{pattern}
    {
        for (int index = 0; index < entryCount; ++index) {
            m_entries.push_back(std::make_unique<entry>(*request::placementByName(policy)));
            m_entries.back()->queue.setCapacity(workerCount * slotsPerWorker / entryCount);
            for (int worker = 0; worker < workerCount; ++worker) {
                m_entries.back()->pool.put(viewOf(worker));
            }
        }
        m_used.resize(workerCount);
        m_history.resize(workerCount);
    }

    auto run() -> surge_result
    {
        for (int index = 0; index < entryCount; ++index) {
            after(0us, [this, index] { arrive(index, request::urgency::urgent); });
            after(0us, [this, index] { arrive(index, request::urgency::normal); });
            if (m_load == load::surges) {
                after(0us, [this, index] { refillBatch(index); });
            }
            for (int worker = 0; worker < workerCount; ++worker) {
                after(between(0us, reportInterval), [this, index, worker] { report(index, worker); });
            }
            after(between(0us, 20ms), [this, index] { tick(index); });
        }
        while (!m_events.empty() && m_events.top().due <= m_start + length) {
            auto next = m_events.top();
            m_events.pop();
            integrate(next.due);
            m_now = next.due;
            next.run();
        }
        return summary();
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
        core::duration rest{};
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
        return (at - m_start) % cycle < surge;
    }

    auto arrive(int index, request::urgency level) -> void
    {
        const double mean = (level == request::urgency::urgent ? 100.0 : 60.0) / entryCount;
        const double rate = mean * (m_load == load::steady ? 1.45 : inSurge(m_now) ? 5.0 : 0.05);
        const double pause = std::exponential_distribution{rate}(m_random);
        const auto untilChange = inSurge(m_now) ? surge - (m_now - m_start) % cycle : cycle - (m_now - m_start) % cycle;
        const auto wait = std::min<core::duration>(core::duration{static_cast<std::int64_t>(pause * 1e6)}, untilChange);
        const bool arrives = wait < untilChange;
        after(std::max<core::duration>(wait, 1us), [this, index, level, arrives] {
            if (arrives) {
                submit(index, level);
            }
            arrive(index, level);
        });
    }

    auto submit(int index, request::urgency level) -> void
    {
        const bool urgent = level == request::urgency::urgent;
        std::lognormal_distribution<double> times{std::log(urgent ? 130'000.0 : 350'000.0), 0.5};
        job added;
        added.level = level;
        added.arrived = m_now;
        added.deadline = m_now + (urgent ? 5s : 10s);
        added.rest = core::duration{static_cast<std::int64_t>(times(m_random))};
        ++m_asked;
        m_urgent += urgent ? 1 : 0;
        enqueue(index, added);
        dispatch(index);
    }

    auto enqueue(int index, const job &added) -> void
    {
        auto &place = *m_entries[static_cast<std::size_t>(index)];
        const auto ticket = ++m_lastTicket;
        if (!m_admission) {
            place.jobs[ticket] = added;
            place.fifo.push_back(ticket);
            return;
        }
        const auto expected = added.level == request::urgency::urgent ? 130ms
            : added.level == request::urgency::normal                 ? 350ms
                                                                      : 40s;
        const core::team_id team{"t" + std::to_string(m_random() % 210)};
        if (place.queue.submit({ticket, team, added.level, expected, added.deadline}, m_now)) {
            place.jobs[ticket] = added;
        } else {
            ++m_refused;
        }
    }

    // Long nightly work is always waiting.
    auto refillBatch(int index) -> void
    {
        auto &place = *m_entries[static_cast<std::size_t>(index)];
        const auto waiting = std::ranges::count_if(place.jobs, [](const auto &entry) {
            return entry.second.level == request::urgency::batch && entry.second.worker < 0;
        });
        for (auto missing = 6 - waiting; missing > 0; --missing) {
            job added;
            added.level = request::urgency::batch;
            added.rest = between(20s, 60s);
            enqueue(index, added);
        }
        dispatch(index);
        after(200ms, [this, index] { refillBatch(index); });
    }

    auto tick(int index) -> void
    {
        auto &place = *m_entries[static_cast<std::size_t>(index)];
        if (m_admission) {
            for (const auto ticket : place.queue.expire(m_now)) {
                expired(place, ticket);
            }
            for (const auto ticket : place.queue.makeRoom(place.pool.freeSlots(), m_now)) {
                checkpoint(index, ticket);
            }
        }
        dispatch(index);
        after(20ms, [this, index] { tick(index); });
    }

    auto expired(entry &place, request::ticket_id ticket) -> void
    {
        ++m_late;
        m_neverStarted += place.jobs[ticket].level == request::urgency::urgent ? 1 : 0;
        place.jobs.erase(ticket);
    }

    auto dispatch(int index) -> void
    {
        auto &place = *m_entries[static_cast<std::size_t>(index)];
        while (true) {
            const auto *worker = place.pool.choose({}, m_random);
            if (worker == nullptr) {
                return;
            }
            const auto host = worker->host;
            const auto ticket = nextOf(place);
            if (!ticket) {
                return;
            }
            send(index, *ticket, host);
        }
    }

    auto nextOf(entry &place) -> std::optional<request::ticket_id>
    {
        if (m_admission) {
            return place.queue.next(place.pool.freeSlots(), m_now);
        }
        while (!place.fifo.empty()) {
            const auto ticket = place.fifo.front();
            place.fifo.pop_front();
            if (place.jobs[ticket].deadline > m_now) {
                return ticket;
            }
            expired(place, ticket);
        }
        return std::nullopt;
    }

    auto send(int index, request::ticket_id ticket, const core::host_id &host) -> void
    {
        auto &place = *m_entries[static_cast<std::size_t>(index)];
        const auto worker = std::stoi(host.str().substr(1));
        place.jobs[ticket].worker = worker;
        place.pool.sent(host, m_now);
        after(hop, [this, index, ticket, worker, sentAt = m_now] { start(index, ticket, worker, sentAt); });
    }

    auto start(int index, request::ticket_id ticket, int worker, time sentAt) -> void
    {
        auto &place = *m_entries[static_cast<std::size_t>(index)];
        auto &job = place.jobs[ticket];
        if (m_used[static_cast<std::size_t>(worker)] >= slotsPerWorker) {
            ++m_rejected;
            after(hop, [this, index, ticket, worker, sentAt] { rejected(index, ticket, worker, sentAt); });
            return;
        }
        change(worker, 1);
        ++m_started;
        job.startedAt = m_now;
        const auto run = ++job.run;
        if (!job.started) {
            job.started = true;
            noteStart(job);
        }
        after(job.rest, [this, index, ticket, worker, sentAt, run] { finish(index, ticket, worker, sentAt, run); });
    }

    auto rejected(int index, request::ticket_id ticket, int worker, time sentAt) -> void
    {
        auto &place = *m_entries[static_cast<std::size_t>(index)];
        place.pool.ended(hostOf(worker), sentAt);
        place.pool.refusedForRoom(hostOf(worker));
        requeue(place, ticket);
        dispatch(index);
    }

    auto requeue(entry &place, request::ticket_id ticket) -> void
    {
        place.jobs[ticket].worker = -1;
        if (m_admission) {
            place.queue.requeue(ticket, m_now);
        } else {
            place.fifo.push_front(ticket);
        }
    }

    auto finish(int index, request::ticket_id ticket, int worker, time sentAt, std::uint64_t run) -> void
    {
        auto &place = *m_entries[static_cast<std::size_t>(index)];
        const auto found = place.jobs.find(ticket);
        if (found == place.jobs.end() || found->second.run != run || found->second.worker < 0) {
            return;
        }
        change(worker, -1);
        m_late += m_now + hop > found->second.deadline ? 1 : 0;
        after(hop, [this, index, ticket, worker, sentAt] {
            auto &again = *m_entries[static_cast<std::size_t>(index)];
            again.pool.ended(hostOf(worker), sentAt);
            again.jobs.erase(ticket);
            again.queue.finished(ticket);
            dispatch(index);
        });
        found->second.run = 0;
    }

    // The job saves its progress, frees its slot and waits again.
    auto checkpoint(int index, request::ticket_id ticket) -> void
    {
        const auto run = m_entries[static_cast<std::size_t>(index)]->jobs[ticket].run;
        after(checkpointTime, [this, index, ticket, run] {
            auto &place = *m_entries[static_cast<std::size_t>(index)];
            const auto found = place.jobs.find(ticket);
            if (found == place.jobs.end() || found->second.run != run || run == 0) {
                return;
            }
            auto &job = found->second;
            job.rest = std::max<core::duration>(job.rest - (m_now - job.startedAt), 1ms);
            change(job.worker, -1);
            place.pool.ended(hostOf(job.worker), job.startedAt - hop);
            ++job.run;
            requeue(place, ticket);
            dispatch(index);
        });
    }

    auto report(int index, int worker) -> void
    {
        const auto &history = m_history[static_cast<std::size_t>(worker)];
        int used = 0;
        for (const auto &[at, value] : history) {
            used = at <= m_now - usageLag ? value : used;
        }
        platform::worker_report figures;
        figures.usedSlots = used;
        figures.usedConnections = used;
        m_entries[static_cast<std::size_t>(index)]->pool.report(hostOf(worker), figures, m_now);
        dispatch(index);
        after(reportInterval, [this, index, worker] { report(index, worker); });
    }

    auto change(int worker, int by) -> void
    {
        auto &used = m_used[static_cast<std::size_t>(worker)];
        used += by;
        m_total += by;
        auto &history = m_history[static_cast<std::size_t>(worker)];
        history.emplace_back(m_now, used);
        while (history.size() > 1 && history[1].first <= m_now - usageLag) {
            history.pop_front();
        }
    }

    auto integrate(time until) -> void
    {
        const double seconds = std::chrono::duration<double>(until - m_now).count();
        m_busySeconds += seconds * m_total;
        if (inSurge(m_now)) {
            m_surgeBusySeconds += seconds * m_total;
            m_surgeSeconds += seconds;
        }
    }

    auto noteStart(const job &started) -> void
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

    auto summary() -> surge_result
    {
        const auto over = std::ranges::count_if(m_urgentWaits, [](double wait) { return wait > 1900.0; });
        const double slots = workerCount * slotsPerWorker;
        surge_result result;
        result.urgentStartP99Ms = p99(m_urgentWaits);
        result.normalStartP99Ms = p99(m_normalWaits);
        result.urgentOverBound = static_cast<double>(over + m_neverStarted) / m_urgent;
        result.refused = static_cast<double>(m_refused) / m_asked;
        result.late = static_cast<double>(m_late) / m_asked;
        result.busyInSurge = m_surgeBusySeconds / (m_surgeSeconds * slots);
        result.busy = m_busySeconds / (std::chrono::duration<double>(length).count() * slots);
        result.rejections = static_cast<double>(m_rejected) / static_cast<double>(m_started);
        return result;
    }

    std::mt19937_64 m_random;
    bool m_admission;
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
    int m_total = 0;
    int m_asked = 0;
    int m_urgent = 0;
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
