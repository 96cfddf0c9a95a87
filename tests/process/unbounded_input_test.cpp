#include "client_crowd.h"
#include "deployment.h"
#include "single_host.h"

#include <catch2/catch.hpp>

#include <iostream>

// Each test guards against clients that make a host hold more memory, or more descriptors, than its machine has. The
// limits are lowered in the settings of the host, so that a small crowd is enough.

using namespace tests;

namespace
{
constexpr host_resources loweredMemory{64, 1024};
constexpr host_resources loweredDescriptors{64, 256};
constexpr long bytesPerMb = 1'000'000;
constexpr std::size_t smallCrowd = 16;
constexpr std::size_t pieceBytes = std::size_t{16} * 1024;
constexpr std::chrono::milliseconds crowdTime{3000};

using listener = std::string single_host::*;

struct listener_case
{
    std::string_view name;
    listener address;
    std::string_view path; ///< Path of a request that this listener handles.
};

constexpr std::array<listener_case, 4> listeners{{
    {"callers", &single_host::callers, "/q/000000000000000a"},
    {"peers", &single_host::peers, "/q/000000000000000a"},
    {"readiness", &single_host::readiness, "/api/readyz"},
    {"metrics", &single_host::metrics, "/metrics"},
}};

auto peakMemoryOf(single_host &host) -> long
{
    return host.process().peakResidentKb() * 1024;
}

auto memoryBound(host_resources resources) -> long
{
    return resources.memoryMb * bytesPerMb;
}

/// \brief An eighth of the descriptors is left for the connections that the host opens itself.
auto descriptorBound(host_resources resources) -> std::size_t
{
    return static_cast<std::size_t>(resources.maxDescriptors) / 8 * 7;
}

/// \brief Plays a crowd against the servers at \p addresses and checks what must hold.
auto checkCrowd(single_host &host, host_resources resources, const std::vector<std::string> &addresses,
                std::size_t connections, crowd_input input) -> void
{
    REQUIRE(host.acceptsJob());
    REQUIRE(host.acceptsJob(single_host::maxBodyBytes));
    const auto idleMemory = peakMemoryOf(host);
    std::size_t descriptors = 0;
    client_crowd crowd{addresses, connections, std::move(input)};
    const auto end = std::chrono::steady_clock::now() + crowdTime;
    // A crowd that has broken the bound by far ends, so that a failing test does not use up the machine's memory.
    while (std::chrono::steady_clock::now() < end && peakMemoryOf(host) < 3 * memoryBound(resources)) {
        descriptors = std::max(descriptors, host.process().openDescriptors());
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    crowd.stopSending();
    const auto peak = peakMemoryOf(host);
    std::cout << "peak_mb=" << peak / bytesPerMb << " before_mb=" << idleMemory / bytesPerMb
              << " descriptors=" << descriptors << " sent_mb=" << crowd.sentBytes() / bytesPerMb
              << " connections=" << crowd.connectionsOpened() << '\n';
    CHECK(crowd.connectionsOpened() > 0);
    CHECK(peak > 0);
    CHECK(peak <= memoryBound(resources));
    CHECK(descriptors <= descriptorBound(resources));
    CHECK(host.acceptsJob());
    CHECK(host.answersStatus());
    CHECK(peakMemoryOf(host) > 0);
}

/// \brief Plays a crowd against each listener of a host of its own.
auto checkListeners(std::size_t connections, const std::function<crowd_input(std::string_view)> &inputFor) -> void
{
    for (const auto &target : listeners) {
        DYNAMIC_SECTION(target.name)
        {
            std::cout << target.name << ": ";
            single_host host{loweredMemory};
            checkCrowd(host, loweredMemory, {host.*target.address}, connections, inputFor(target.path));
        }
    }
}

auto requestLine(std::string_view method, std::string_view path) -> std::string
{
    return std::string{method} + " " + std::string{path} + " HTTP/1.1\r\nHost: jobs.example\r\n";
}

auto chunkedHead(std::string_view path) -> std::string
{
    return requestLine("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
}

auto sizedHead(std::string_view path, std::uint64_t bytes) -> std::string
{
    return requestLine("POST", path) + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

auto repeat(std::string_view text, std::size_t bytes) -> std::string
{
    std::string out;
    while (out.size() < bytes) {
        out += text;
    }
    return out;
}
} // namespace

TEST_CASE("memory stays bounded while clients send trailers without end", "[process][crowd]")
{
    checkListeners(smallCrowd, [](std::string_view path) {
        const std::string line = "X-Filler: " + std::string(200, 'a') + "\r\n";
        return crowd_input{chunkedHead(path) + "0\r\n", repeat(line, pieceBytes)};
    });
}

TEST_CASE("memory stays bounded while clients send one trailer line without end", "[process][crowd]")
{
    checkListeners(smallCrowd, [](std::string_view path) {
        return crowd_input{chunkedHead(path) + "0\r\nX-Filler: ", std::string(pieceBytes, 'a')};
    });
}

TEST_CASE("memory stays bounded while clients send a chunk extension without end", "[process][crowd]")
{
    checkListeners(smallCrowd, [](std::string_view path) {
        return crowd_input{chunkedHead(path) + "1;x=", std::string(pieceBytes, 'a')};
    });
}

TEST_CASE("memory stays bounded while clients announce bodies far over the limit", "[process][crowd]")
{
    checkListeners(smallCrowd, [](std::string_view path) {
        return crowd_input{sizedHead(path, std::uint64_t{8} << 30U), std::string(pieceBytes, 'a')};
    });
}

TEST_CASE("memory stays bounded while clients send chunked bodies without end", "[process][crowd]")
{
    checkListeners(smallCrowd, [](std::string_view path) {
        return crowd_input{chunkedHead(path), "4000\r\n" + std::string(0x4000, 'a') + "\r\n"};
    });
}

TEST_CASE("memory stays bounded while clients send whole bodies above the configured limit", "[process][crowd]")
{
    constexpr std::size_t bodyBytes = 3'900'000;
    constexpr std::size_t crowdSize = 32;
    checkListeners(crowdSize, [](std::string_view path) {
        return crowd_input{sizedHead(path, bodyBytes), std::string(bodyBytes / 60, 'a'), bodyBytes};
    });
}

TEST_CASE("memory stays bounded while many clients send bodies inside the limit that never end", "[process][crowd]")
{
    constexpr std::size_t announcedBytes = 250'000;
    constexpr std::size_t sentBytes = 200'000;
    constexpr std::size_t crowdSize = 400;
    checkListeners(crowdSize, [](std::string_view path) {
        return crowd_input{sizedHead(path, announcedBytes), std::string(sentBytes / 20, 'a'), sentBytes};
    });
}

TEST_CASE("memory stays bounded while clients send bodies in chunks of one byte", "[process][crowd]")
{
    constexpr std::size_t crowdSize = 64;
    checkListeners(crowdSize, [](std::string_view path) {
        return crowd_input{chunkedHead(path), repeat("1\r\na\r\n", pieceBytes)};
    });
}

TEST_CASE("memory stays bounded while clients pipeline requests and read no answers", "[process][crowd]")
{
    checkListeners(smallCrowd, [](std::string_view path) {
        return crowd_input{{}, repeat(requestLine("GET", path) + "\r\n", pieceBytes), 0, false};
    });
}

TEST_CASE("descriptors are left for the host's own connections while clients open more than there are",
          "[process][crowd]")
{
    constexpr std::size_t crowdSize = 400;
    single_host host{loweredDescriptors};
    checkCrowd(host, loweredDescriptors, {host.callers, host.peers, host.readiness, host.metrics}, crowdSize,
               {requestLine("GET", "/"), {}});
}
