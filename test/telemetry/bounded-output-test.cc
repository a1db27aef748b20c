#include "applehatch/telemetry/bounded-output.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <ostream>
#include <string>

namespace {

using namespace applehatch::telemetry;

/// A pipe that is read only on request.
class Pipe
{
public:
    Pipe()
    {
        if (pipe(ends_.data()) != 0)
            throw std::runtime_error("cannot create a pipe");
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }

    ~Pipe()
    {
        close(ends_[0]);
        close(ends_[1]);
    }

    Pipe(const Pipe &) = delete;
    auto operator=(const Pipe &) -> Pipe & = delete;

    [[nodiscard]] auto writer() const -> int { return ends_[1]; }

    auto readAll() -> std::string
    {
        std::string text;
        std::array<char, 65536> buffer{};
        for (auto count = read(ends_[0], buffer.data(), buffer.size()); count > 0;
             count = read(ends_[0], buffer.data(), buffer.size()))
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }

private:
    std::array<int, 2> ends_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(bounded_output)

BOOST_AUTO_TEST_CASE(lines_come_out_in_order)
{
    Pipe pipe;
    BoundedOutput output(pipe.writer());
    std::ostream stream(&output);
    stream << "one " << 1 << '\n' << std::flush << "two\n" << std::flush;
    BOOST_TEST(pipe.readAll() == "one 1\ntwo\n");
}

// The reader of a process's log hangs. A blocking write would stop every request. The process must
// continue at full speed, keep the lines that fit, and report the number of dropped lines when the
// reader is back.
BOOST_AUTO_TEST_CASE(a_stalled_reader_does_not_block_the_writer)
{
    Pipe pipe;
    constexpr std::size_t capacity = 65536;
    BoundedOutput output(pipe.writer(), capacity);
    std::ostream stream(&output);
    const std::string line(300, 'x');
    constexpr int lines = 20000;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < lines; ++i)
        stream << line << '\n' << std::flush;
    const auto timePerLine = (std::chrono::steady_clock::now() - begin) / lines;
    using Microseconds = std::chrono::duration<double, std::micro>;
    BOOST_TEST_MESSAGE("time per line with a stalled reader: " << Microseconds(timePerLine).count()
                                                               << " us");
    BOOST_TEST((timePerLine < std::chrono::microseconds(100)));
    BOOST_TEST(output.dropped() > lines / 2);
    std::string text = pipe.readAll();
    for (int i = 0; i < 100; ++i) {
        stream << "later\n" << std::flush;
        text += pipe.readAll();
    }
    BOOST_TEST(text.find("event=log-dropped lines=" + std::to_string(output.dropped()))
               != std::string::npos);
    BOOST_TEST(text.ends_with("later\n"));
}

// The reader closes the pipe. Writing to it must not end the process.
BOOST_AUTO_TEST_CASE(a_closed_reader_does_not_end_the_process)
{
    signal(SIGPIPE, SIG_IGN);
    std::array<int, 2> ends{};
    BOOST_REQUIRE(pipe(ends.data()) == 0);
    close(ends[0]);
    BoundedOutput output(ends[1], 1000);
    std::ostream stream(&output);
    for (int i = 0; i < 1000; ++i)
        stream << "line\n" << std::flush;
    BOOST_TEST(output.dropped() > 0);
    close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()
