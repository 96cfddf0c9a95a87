#include <poplarpass/core/invariant.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace poplarpass::core
{
namespace
{
std::atomic<std::uint64_t> breaches{0};

auto abortOnBreach(invariant_kind kind, std::string_view evidence) -> void
{
    const auto name = nameOf(kind);
    std::fprintf(stderr, "event=invariant_breach kind=%.*s evidence=\"%.*s\"\n", static_cast<int>(name.size()),
                 name.data(), static_cast<int>(evidence.size()), evidence.data());
    std::abort();
}

auto currentHandler() -> breach_handler &
{
    static breach_handler handler = abortOnBreach;
    return handler;
}
} // namespace

auto nameOf(invariant_kind kind) -> std::string_view
{
    static constexpr std::array<std::string_view, 8> names{
        "availability_budget", "one_pool_per_host",    "own_whole_answer", "not_run_is_true",
        "at_most_once",        "no_work_when_leaving", "graceful_stop",    "configuration_never_reverts"};
    return names[static_cast<std::size_t>(kind)];
}

auto setBreachHandler(breach_handler handler) -> breach_handler
{
    return std::exchange(currentHandler(), std::move(handler));
}

auto breachCount() -> std::uint64_t
{
    return breaches.load();
}

auto requireInvariant(bool holds, invariant_kind kind, const std::function<std::string()> &evidence) -> void
{
    if (holds) {
        return;
    }
    ++breaches;
    currentHandler()(kind, evidence());
}
} // namespace poplarpass::core
