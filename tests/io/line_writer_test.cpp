#include <poplarpass/observe/line_writer.h>

#include <catch2/catch.hpp>

#include <array>
#include <fcntl.h>
#include <functional>
#include <string>
#include <unistd.h>
#include <vector>

namespace
{
/// \brief A pipe whose read end the test drains explicitly.
struct test_pipe
{
    test_pipe()
    {
        REQUIRE(pipe(ends.data()) == 0);
    }

    ~test_pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }

    test_pipe(const test_pipe &) = delete;
    auto operator=(const test_pipe &) -> test_pipe & = delete;

    auto read() const -> std::string
    {
        std::string text(1 << 20, '\0');
        const auto size = ::read(ends[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

    std::array<int, 2> ends{};
};
} // namespace

TEST_CASE("Lines reach the reader in order", "[observe]")
{
    test_pipe pipe;
    poplarpass::observe::line_writer writer{pipe.ends[1]};
    writer.write("one");
    writer.write("two");
    CHECK(pipe.read() == "one\ntwo\n");
}

TEST_CASE("A stalled reader does not block the writer, and dropped lines are counted and reported", "[observe]")
{
    test_pipe pipe;
    poplarpass::observe::line_writer writer{pipe.ends[1]};
    const std::string line(1000, 'x');
    constexpr int lines = 1000;
    for (int index = 0; index < lines; ++index) {
        writer.write(line);
    }
    CHECK(writer.droppedCount() > 0);
    CHECK(writer.droppedCount() < lines);
    auto text = pipe.read();
    writer.write("after");
    text += pipe.read();
    writer.write("last");
    text += pipe.read();
    CHECK(text.find("event=log_lines_dropped count=" + std::to_string(writer.droppedCount())) != std::string::npos);
    CHECK(text.ends_with("last\n"));
}

TEST_CASE("Lines of one period are written together, at the latest when the writer ends", "[observe]")
{
    test_pipe pipe;
    REQUIRE(fcntl(pipe.ends[0], F_SETFL, O_NONBLOCK) == 0);
    std::vector<std::function<void()>> deferred;
    {
        poplarpass::observe::line_writer writer{pipe.ends[1], [&](std::function<void()> flush) {
                                                    deferred.push_back(std::move(flush));
                                                }};
        writer.write("one");
        writer.write("two");
        REQUIRE(deferred.size() == 1);
        CHECK(pipe.read().empty());
        deferred.front()();
        CHECK(pipe.read() == "one\ntwo\n");
        writer.write("three");
        CHECK(deferred.size() == 2);
        writer.write(std::string(poplarpass::observe::line_writer::immediateWriteBytes, 'x'));
        CHECK(pipe.read().starts_with("three\nx"));
        writer.write("last");
    }
    CHECK(pipe.read() == "last\n");
    deferred.back()();
}
