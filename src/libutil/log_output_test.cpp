/// \file
/// Tests of the buffered log output.
#include <boost/test/unit_test.hpp>

#include <damaskworks/log.h>
#include <damaskworks/log_output.h>

#include <algorithm>
#include <array>
#include <climits>
#include <event2/event.h>
#include <fcntl.h>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace damask;

namespace {

/// A pipe in packet mode: each read returns exactly one write.
struct PacketPipe {
    std::array<int, 2> descriptors { -1, -1 };
    PacketPipe() { BOOST_REQUIRE(::pipe2(descriptors.data(), O_DIRECT | O_NONBLOCK) == 0); }
    ~PacketPipe()
    {
        ::close(descriptors[0]);
        ::close(descriptors[1]);
    }

    std::vector<std::string> packets() const
    {
        std::vector<std::string> out;
        std::string buffer(PIPE_BUF, '\0');
        for (;;) {
            const auto length = ::read(descriptors[0], buffer.data(), buffer.size());
            if (length <= 0)
                return out;
            out.emplace_back(buffer, 0, static_cast<std::size_t>(length));
        }
    }
};

struct BaseFixture {
    event_base* base = event_base_new();
    ~BaseFixture() { event_base_free(base); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_output, BaseFixture)

BOOST_AUTO_TEST_CASE(noWriteEndsWithinALine)
{
    // A log collector kept only the first 8 KB of each write and lost the lines beyond. Each write must
    // therefore be short and end with a whole line.
    const PacketPipe pipe;
    LogOutput output(base, pipe.descriptors[1]);
    for (int i = 0; i < 100; ++i)
        logEvent(LogLevel::Warning, "task_start", { { "task", std::to_string(i) + std::string(100, 'x') } });
    output.flush();
    const auto packets = pipe.packets();
    BOOST_TEST(packets.size() > 3u);
    std::size_t lines = 0;
    for (const auto& packet : packets) {
        BOOST_TEST(packet.back() == '\n');
        lines += static_cast<std::size_t>(std::count(packet.begin(), packet.end(), '\n'));
    }
    BOOST_TEST(lines == 100u);
}

BOOST_AUTO_TEST_CASE(linesBeyondTheLimitAreDroppedAndCounted)
{
    const PacketPipe pipe;
    LogOutput output(base, pipe.descriptors[1], 1000);
    for (int i = 0; i < 20; ++i)
        logEvent(LogLevel::Warning, "task_start", { { "task", std::string(100, 'x') } });
    const auto dropped = output.dropped();
    BOOST_TEST(dropped > 0u);
    output.flush();
    output.flush(); // writes the log_lines_dropped line, which the first flush logged
    std::string all;
    for (const auto& packet : pipe.packets())
        all += packet;
    BOOST_TEST(all.find("log_lines_dropped total=" + std::to_string(dropped)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(lineHasTimeLevelNodeAndQuotedFields)
{
    const PacketPipe pipe;
    initializeLogging(LogLevel::Info, "node 1");
    LogOutput output(base, pipe.descriptors[1]);
    logEvent(LogLevel::Debug, "hidden");
    logEvent(LogLevel::Info, "task_start",
        { { "task", "a.0.1.2" }, { "spec", "x=\"1\"\n\\" }, { "note", "" }, { "path", "C:\\" } });
    logEvent(LogLevel::Warning, "late");
    logEvent(LogLevel::Error, "lost");
    output.flush();
    initializeLogging(LogLevel::Debug, "");
    std::string all;
    for (const auto& packet : pipe.packets())
        all += packet;
    std::istringstream lines(all);
    const std::vector<std::string> expected {
        R"(level=INFO event=task_start node="node 1" task=a.0.1.2 spec="x=\"1\" \\" note="" path=C:\)",
        R"(level=WARNING event=late node="node 1")", R"(level=ERROR event=lost node="node 1")"
    };
    std::string line;
    for (const auto& text : expected) {
        BOOST_TEST_REQUIRE(bool(std::getline(lines, line)));
        const std::string shape = "dddd-dd-ddTdd:dd:dd.ddd ";
        BOOST_TEST_REQUIRE(line.size() > shape.size());
        std::string time = line.substr(0, shape.size());
        std::replace_if(
            time.begin(), time.end(), [](char c) { return c >= '0' && c <= '9'; }, 'd');
        BOOST_TEST(time == shape);
        BOOST_TEST(line.substr(shape.size()) == text);
    }
    BOOST_TEST(!std::getline(lines, line));
}

BOOST_AUTO_TEST_SUITE_END()
