#include <poplarpass/host/measured_calls.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace poplarpass::host
{
namespace
{
auto nameOf(renewal_outcome outcome) -> std::string_view
{
    static constexpr std::array<std::string_view, 4> names{"reported", "fenced", "other_instance", "failed"};
    return names.at(static_cast<std::size_t>(outcome));
}

auto answered(bool truth) -> std::string_view
{
    return truth ? "answered" : "no_answer";
}

/// \brief Records the time from its construction to end().
class call_timer
{
public:
    call_timer(call_measures measures, std::string_view service, std::string_view call)
        : m_measures{measures}
        , m_service{service}
        , m_call{call}
        , m_startedAt{measures.time.now()}
    {
    }

    auto end(std::string_view outcome) const -> void
    {
        m_measures.metrics
            .histogramOf(
                "poplarpass_call_seconds", "Time of calls to the platform and to workers",
                {{"call", std::string{m_call}}, {"outcome", std::string{outcome}}, {"service", std::string{m_service}}})
            .record(m_measures.time.now() - m_startedAt);
    }

private:
    call_measures m_measures;
    std::string_view m_service;
    std::string_view m_call;
    core::monotonic_time m_startedAt;
};
} // namespace

auto measured(store::record_store calls, call_measures measures) -> store::record_store
{
    store::record_store made;
    made.append = [append = std::move(calls.append), measures](store::append_request request,
                                                               std::function<void(store::append_result)> done) {
        const call_timer timer{measures, "store", "append"};
        append(std::move(request), [timer, done = std::move(done)](store::append_result result) {
            timer.end(nameOf(result.outcome));
            done(result);
        });
    };
    made.read = [read = std::move(calls.read), measures](store::topic topic, std::uint64_t from,
                                                         std::chrono::milliseconds wait,
                                                         std::function<void(store::read_result)> done) {
        const call_timer timer{measures, "store", wait.count() > 0 ? "follow" : "read"};
        read(topic, from, wait, [timer, done = std::move(done)](store::read_result result) {
            timer.end(nameOf(result.outcome));
            done(std::move(result));
        });
    };
    made.newest = [newest = std::move(calls.newest), measures](store::topic topic,
                                                               std::function<void(store::newest_result)> done) {
        const call_timer timer{measures, "store", "newest"};
        newest(topic, [timer, done = std::move(done)](store::newest_result result) {
            timer.end(answered(result.complete));
            done(std::move(result));
        });
    };
    return made;
}

auto measured(worker_calls calls, call_measures measures) -> worker_calls
{
    worker_calls made;
    made.renew = [renew = std::move(calls.renew), measures](const renewal_call &call,
                                                            std::function<void(renewal_answer)> done) {
        const call_timer timer{measures, "worker", "renew"};
        renew(call, [timer, done = std::move(done)](renewal_answer answer) {
            timer.end(nameOf(answer.outcome));
            done(std::move(answer));
        });
    };
    made.start = [start = std::move(calls.start), measures](const worker_target &target, const jobs::start_order &order,
                                                            std::int64_t deadlineMs,
                                                            std::function<void(jobs::start_answer)> done) {
        const call_timer timer{measures, "worker", "start"};
        start(target, order, deadlineMs, [timer, done = std::move(done)](jobs::start_answer answer) {
            timer.end(jobs::nameOf(answer));
            done(answer);
        });
    };
    made.stop = [stop = std::move(calls.stop), measures](const worker_target &target, const jobs::stop_order &order,
                                                         std::function<void(jobs::stop_answer)> done) {
        const call_timer timer{measures, "worker", "stop"};
        stop(target, order, [timer, done = std::move(done)](jobs::stop_answer answer) {
            timer.end(jobs::nameOf(answer));
            done(answer);
        });
    };
    made.pace = [pace = std::move(calls.pace), measures](const worker_target &target, const jobs::pace_order &order,
                                                         std::function<void(bool)> done) {
        const call_timer timer{measures, "worker", "pace"};
        pace(target, order, [timer, done = std::move(done)](bool paced) {
            timer.end(paced ? "paced" : "refused");
            done(paced);
        });
    };
    return made;
}

auto measured(host_calls calls, call_measures measures) -> host_calls
{
    host_calls made;
    made.list = [list = std::move(calls.list),
                 measures](std::function<void(std::optional<std::vector<capacity::host_entry>>)> done) {
        const call_timer timer{measures, "hosts", "list"};
        list([timer, done = std::move(done)](std::optional<std::vector<capacity::host_entry>> hosts) {
            timer.end(answered(hosts.has_value()));
            done(std::move(hosts));
        });
    };
    made.order = [order = std::move(calls.order), measures](const host_holder &holder,
                                                            const capacity::host_order &wanted,
                                                            std::function<void(capacity::host_order_outcome)> done) {
        const call_timer timer{measures, "hosts", wanted.pool ? "move" : "maintain"};
        order(holder, wanted, [timer, done = std::move(done)](capacity::host_order_outcome outcome) {
            timer.end(capacity::nameOf(outcome));
            done(outcome);
        });
    };
    return made;
}

auto measured(advice_calls calls, call_measures measures) -> advice_calls
{
    advice_calls made;
    made.ask = [ask = std::move(calls.ask),
                measures](const jobs::advice_request &request,
                          std::function<void(std::optional<std::vector<jobs::advice_ticket>>)> done) {
        const call_timer timer{measures, "advice", "ask"};
        ask(request, [timer, done = std::move(done)](std::optional<std::vector<jobs::advice_ticket>> tickets) {
            timer.end(answered(tickets.has_value()));
            done(std::move(tickets));
        });
    };
    return made;
}
} // namespace poplarpass::host
