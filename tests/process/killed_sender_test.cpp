#include "child_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <csignal>

using namespace tests;
using boost::asio::ip::tcp;

// Guards against calls that are carried out after the death of their sender: after an orderly end of the connection,
// the kernel goes on sending the bytes that the process has written.
TEST_CASE("The connections of a process that is killed are reset, so that its undelivered bytes are lost", "[process]")
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    child_process sender{std::string{POPLARPASS_BIN_DIR} + "/poplarpass", {"account", "list", "--at", address}};
    auto connection = acceptor.accept();
    std::array<char, 4096> chunk{};
    REQUIRE(connection.read_some(boost::asio::buffer(chunk)) > 0);
    sender.signal(GENERATE(SIGKILL, SIGTERM));
    REQUIRE(sender.waitForExit());
    boost::system::error_code end;
    connection.read_some(boost::asio::buffer(chunk), end);
    CHECK(end == boost::asio::error::connection_reset);
}
