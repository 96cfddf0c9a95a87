#include <poplarpass/host/call_metrics.h>

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

auto answerOutcome(bool hasAnswer) -> std::string_view
{
    return hasAnswer ? "answered" : "no_answer";
}

/// \brief Records the time from its construction to end().
class call_timer
{
public:
    call_timer(call_metrics_context context, std::string_view service, std::string_view call)
        : m_context{context}
        , m_service{service}
        , m_call{call}
        , m_startedAt{context.time.now()}
    {
    }

    auto end(std::string_view outcome) const -> void
    {
        m_context.metrics
            .histogramOf(
                "poplarpass_call_seconds", "Time of calls to the platform and to workers",
                {{"call", std::string{m_call}}, {"outcome", std::string{outcome}}, {"service", std::string{m_service}}})
            .record(m_context.time.now() - m_startedAt);
    }

private:
    call_metrics_context m_context;
    std::string_view m_service;
    std::string_view m_call;
    core::monotonic_time m_startedAt;
};
} // namespace

auto withCallMetrics(store::record_store calls, call_metrics_context context) -> store::record_store
{
    store::record_store wrapped;
    wrapped.append = [append = std::move(calls.append), context](store::record_append request,
                                                                 std::function<void(store::append_result)> done) {
        const call_timer timer{context, "store", "append"};
        append(std::move(request), [timer, done = std::move(done)](store::append_result result) {
            timer.end(nameOf(result.outcome));
            done(result);
        });
    };
    wrapped.read = [read = std::move(calls.read), context](store::topic topic, std::uint64_t from,
                                                           std::chrono::milliseconds wait,
                                                           std::function<void(store::read_result)> done) {
        const call_timer timer{context, "store", wait.count() > 0 ? "follow" : "read"};
        read(topic, from, wait, [timer, done = std::move(done)](store::read_result result) {
            timer.end(nameOf(result.outcome));
            done(std::move(result));
        });
    };
    wrapped.newest = [newest = std::move(calls.newest), context](store::topic topic,
                                                                 std::function<void(store::newest_result)> done) {
        const call_timer timer{context, "store", "newest"};
        newest(topic, [timer, done = std::move(done)](store::newest_result result) {
            timer.end(answerOutcome(result.complete));
            done(std::move(result));
        });
    };
    return wrapped;
}

auto withCallMetrics(worker_calls calls, call_metrics_context context) -> worker_calls
{
    worker_calls wrapped;
    wrapped.renew = [renew = std::move(calls.renew), context](const renewal_call &call,
                                                              std::function<void(renewal_answer)> done) {
        const call_timer timer{context, "worker", "renew"};
        renew(call, [timer, done = std::move(done)](renewal_answer answer) {
            timer.end(nameOf(answer.outcome));
            done(std::move(answer));
        });
    };
    wrapped.start = [start = std::move(calls.start), context](const worker_target &target,
                                                              const jobs::start_order &order, std::int64_t deadlineMs,
                                                              std::function<void(start_result)> done) {
        const call_timer timer{context, "worker", "start"};
        start(target, order, deadlineMs, [timer, done = std::move(done)](const start_result &result) {
            timer.end(jobs::nameOf(result.answer));
            done(result);
        });
    };
    wrapped.stop = [stop = std::move(calls.stop), context](const worker_target &target, const jobs::stop_order &order,
                                                           std::function<void(jobs::stop_answer)> done) {
        const call_timer timer{context, "worker", "stop"};
        stop(target, order, [timer, done = std::move(done)](jobs::stop_answer answer) {
            timer.end(jobs::nameOf(answer));
            done(answer);
        });
    };
    wrapped.pace = [pace = std::move(calls.pace), context](const worker_target &target, const jobs::pace_order &order,
                                                           std::function<void(bool)> done) {
        const call_timer timer{context, "worker", "pace"};
        pace(target, order, [timer, done = std::move(done)](bool paced) {
            timer.end(paced ? "paced" : "refused");
            done(paced);
        });
    };
    return wrapped;
}

auto withCallMetrics(host_calls calls, call_metrics_context context) -> host_calls
{
    host_calls wrapped;
    wrapped.list = [list = std::move(calls.list),
                    context](std::function<void(std::optional<std::vector<capacity::host_entry>>)> done) {
        const call_timer timer{context, "hosts", "list"};
        list([timer, done = std::move(done)](std::optional<std::vector<capacity::host_entry>> hosts) {
            timer.end(answerOutcome(hosts.has_value()));
            done(std::move(hosts));
        });
    };
    wrapped.order = [order = std::move(calls.order), context](const host_lease_holder &holder,
                                                              const capacity::host_order &wanted,
                                                              std::function<void(capacity::host_order_outcome)> done) {
        const call_timer timer{context, "hosts", wanted.pool ? "move" : "maintain"};
        order(holder, wanted, [timer, done = std::move(done)](capacity::host_order_outcome outcome) {
            timer.end(capacity::nameOf(outcome));
            done(outcome);
        });
    };
    return wrapped;
}

auto withCallMetrics(advice_calls calls, call_metrics_context context) -> advice_calls
{
    advice_calls wrapped;
    wrapped.requestAdvice = [requestAdvice = std::move(calls.requestAdvice),
                             context](const jobs::advice_request &request,
                                      std::function<void(std::optional<std::vector<jobs::advice_ticket>>)> done) {
        const call_timer timer{context, "advice", "ask"};
        requestAdvice(request,
                      [timer, done = std::move(done)](std::optional<std::vector<jobs::advice_ticket>> tickets) {
                          timer.end(answerOutcome(tickets.has_value()));
                          done(std::move(tickets));
                      });
    };
    return wrapped;
}
} // namespace poplarpass::host
