#include <poplarpass/jobs/wait_reasons.h>

#include <array>

namespace poplarpass::jobs
{
auto nameOf(wait_reason reason) -> std::string_view
{
    static constexpr std::array<std::string_view, 14> names{
        "lease",    "stop", "start",  "delayed",   "open_start", "pool_held", "no_worker",
        "observed", "cap",  "advice", "gang_hold", "share",      "no_room",   "planning"};
    return names.at(static_cast<std::size_t>(reason));
}

namespace internal
{
namespace
{
auto reasonOfPlaced(const wait_facts &facts) -> wait_reason
{
    if (facts.isWorkerSilent) {
        return wait_reason::lease;
    }
    return facts.isClosing ? wait_reason::stop : wait_reason::start;
}

auto reasonForRoom(const wait_facts &facts) -> wait_reason
{
    if (facts.hasRoomBesideGang) {
        return wait_reason::planning;
    }
    if (facts.hasRoom) {
        return wait_reason::gang_hold;
    }
    return facts.isOverShare ? wait_reason::share : wait_reason::no_room;
}
} // namespace

auto reasonOf(const wait_facts &facts) -> wait_reason
{
    if (facts.isPlaced) {
        return reasonOfPlaced(facts);
    }
    if (facts.isDelayed) {
        return wait_reason::delayed;
    }
    if (facts.hasOpenStart) {
        return wait_reason::open_start;
    }
    if (facts.isPoolHeld) {
        return wait_reason::pool_held;
    }
    if (!facts.hasWorker) {
        return wait_reason::no_worker;
    }
    if (facts.isCapped) {
        return wait_reason::cap;
    }
    if (facts.needsObservation) {
        return wait_reason::observed;
    }
    return facts.isAdvised ? reasonForRoom(facts) : wait_reason::advice;
}
} // namespace internal
} // namespace poplarpass::jobs
