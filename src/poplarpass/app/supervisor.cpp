#include <poplarpass/app/supervisor.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace poplarpass::app
{
supervisor::supervisor(std::vector<child_spec> children, restart_policy policy, supervisor_hooks hooks)
    : m_policy{policy}
    , m_hooks{std::move(hooks)}
{
    for (auto &spec : children) {
        m_children.push_back(child{std::move(spec), false, {}});
    }
}

auto supervisor::start() -> void
{
    for (auto &target : m_children) {
        startChild(target);
    }
}

auto supervisor::startChild(child &target) -> void
{
    try {
        target.spec.start();
        target.running = true;
        m_hooks.report("child_started", target.spec.name, "");
    } catch (const std::exception &problem) {
        handleFailure(target, problem.what());
    }
}

auto supervisor::childFailed(std::string_view name, std::string_view reason) -> void
{
    const auto found =
        std::ranges::find_if(m_children, [name](const child &candidate) { return candidate.spec.name == name; });
    if (found != m_children.end()) {
        handleFailure(*found, reason);
    }
}

auto supervisor::handleFailure(child &target, std::string_view reason) -> void
{
    target.running = false;
    m_hooks.report("child_failed", target.spec.name, reason);
    if (m_stopping) {
        return;
    }
    target.failures.push_back(m_hooks.now());
    if (exceedsRestartLimit(target)) {
        m_hooks.report("child_given_up", target.spec.name, reason);
        m_hooks.escalate();
        return;
    }
    m_hooks.after(m_policy.delay, [this, &target] {
        if (!m_stopping && !target.running) {
            startChild(target);
        }
    });
}

auto supervisor::exceedsRestartLimit(child &target) -> bool
{
    const auto oldest = m_hooks.now() - m_policy.window;
    std::erase_if(target.failures, [oldest](core::monotonic_time time) { return time < oldest; });
    return std::cmp_greater(target.failures.size(), m_policy.maxRestarts);
}

auto supervisor::stop(std::function<void()> done) -> void
{
    m_stopping = true;
    stopFrom(m_children.size(), std::move(done));
}

auto supervisor::stopFrom(std::size_t count, std::function<void()> done) -> void
{
    if (count == 0) {
        done();
        return;
    }
    auto &target = m_children[count - 1];
    auto next = [this, count, done = std::move(done)] {
        stopFrom(count - 1, done);
    };
    if (!target.running) {
        next();
        return;
    }
    target.running = false;
    target.spec.stop([this, &target, next = std::move(next)] {
        m_hooks.report("child_stopped", target.spec.name, "");
        next();
    });
}
} // namespace poplarpass::app
