/// Reading of jobs' specs from a table with failing reads.
#include "fakes_test.h"

#include <damaskworks/job_directory.h>
#include <damaskworks/spec_reader.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(everySpecIsReadDespiteFailedReads)
{
    Loop loop;
    FakeTable table(loop.base());
    Metrics metrics;
    std::map<std::string, std::string> read;
    SpecReader reader(loop.base(), table, metrics,
        [&](const std::string& job, std::string spec) { read.emplace(job, std::move(spec)); });
    table.readsToFail = 7;
    constexpr int jobs = 100;
    for (int i = 0; i < jobs; ++i) {
        const auto id = "j" + std::to_string(i);
        table.commit(
            { "queue/quotes/0", {}, { { std::string(specTable), id, "work of " + id } } }, 1s, [](auto) {});
        reader.requestSpec("queue/quotes/0", id);
    }
    BOOST_REQUIRE(loop.runUntil([&] { return read.size() == jobs; }, 10s));
    BOOST_TEST(read.at("j42") == "work of j42");
    BOOST_TEST(table.maxOpenReads <= 32);
    BOOST_TEST(metrics.counter("spec_read_failures_total") == 7u);
}
