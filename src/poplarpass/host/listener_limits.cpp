#include <poplarpass/host/listener_limits.h>

namespace poplarpass::host
{
namespace
{
// Requests for the readiness, the metrics and the accounts have no body.
constexpr std::uint64_t maxStatusBodyBytes = 1024;
} // namespace

// Somewhat over a quarter of the memory in all: the allocator and the jobs take the rest. The descriptors that are
// left, three sixteenths at least, serve the connections to the store, the workers and the owner.
auto divideAmongListeners(std::size_t memoryBytes, std::size_t maxDescriptors) -> listener_limits
{
    listener_limits limits;
    limits.callers.memoryBytes = memoryBytes / 8;
    limits.callers.maxConnections = maxDescriptors * 3 / 8;
    limits.peers.memoryBytes = memoryBytes / 8;
    limits.peers.maxConnections = maxDescriptors / 4;
    limits.status.memoryBytes = memoryBytes / 64;
    limits.status.maxConnections = maxDescriptors / 32;
    limits.status.bodyBytes = maxStatusBodyBytes;
    return limits;
}
} // namespace poplarpass::host
