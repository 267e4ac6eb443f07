#include "log.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <array>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

using namespace mulberry;

namespace
{

/// Captures everything written to standard output until finish() is called.
/// Precondition: no other thread writes to standard output during the
/// constructor and finish().
class captured_output
{
public:
    captured_output() : before_(dup(STDOUT_FILENO))
    {
        std::array<int, 2> ends{};
        REQUIRE(pipe(ends.data()) == 0);
        read_end_ = ends[0];
        std::cout.flush();
        std::fflush(stdout);
        dup2(ends[1], STDOUT_FILENO);
        close(ends[1]);
        reader_ = std::thread([this] { read_all(); });
    }

    std::string finish()
    {
        std::cout.flush();
        std::fflush(stdout);
        dup2(before_, STDOUT_FILENO);
        close(before_);
        reader_.join();
        close(read_end_);
        return text_;
    }

private:
    void read_all()
    {
        std::array<char, 4096> bytes{};
        for (ssize_t got = 0;
             (got = read(read_end_, bytes.data(), bytes.size())) > 0;)
            text_.append(bytes.data(), static_cast<std::size_t>(got));
    }

    int before_;
    int read_end_ = -1;
    std::string text_;
    std::thread reader_;
};

} // namespace

// Failure: the program that starts a VM waits for the line with the VM's
// addresses and gives the VM up if the line cannot be parsed. The log's thread
// wrote a record between the line and its line feed, so that
// `listening 127.0.0.1:38845` was followed by the time of the record.
TEST_CASE("a line written by write_line is never interleaved with log records",
          "[log]")
{
    constexpr int lines = 3'000;
    std::string const line = "listening 127.0.0.1:38845";
    captured_output output;
    start_logging("vm", "info", "text");
    std::thread log_writer(
        []
        {
            for (int count = 0; count < lines; ++count)
                log(log_level::info, "test", "a record");
        });
    for (int count = 0; count < lines; ++count)
        write_line(line);
    log_writer.join();
    stop_logging();
    std::istringstream written(output.finish());
    int intact_lines = 0;
    for (std::string written_line; std::getline(written, written_line);)
        intact_lines += written_line == line;
    CHECK(intact_lines == lines);
}
