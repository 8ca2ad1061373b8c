#include <boost/test/unit_test.hpp>

#include <damaskworks/metrics.h>
#include <damaskworks/trace.h>

using namespace damask;

BOOST_AUTO_TEST_CASE(traceparentRoundTrip)
{
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    auto context = trace::parse(header);
    BOOST_REQUIRE(context);
    BOOST_TEST(trace::format(*context) == header);
    std::mt19937_64 random(1);
    BOOST_TEST(trace::child(context, random).traceId == context->traceId);
}

BOOST_AUTO_TEST_CASE(malformedTraceparentIsIgnored)
{
    for (std::string_view header : { "", "00-zz", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
             "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" })
        BOOST_TEST(!trace::parse(header).has_value());
}

BOOST_AUTO_TEST_CASE(metricsTextListsCountersAndDistributions)
{
    Metrics metrics;
    metrics.count("requests_total{pool=\"pricing\"}", 2);
    for (int i = 1; i <= 1000; ++i)
        metrics.observe("latency_seconds", std::chrono::milliseconds(i));
    const auto text = metrics.text();
    BOOST_TEST(text.find("requests_total{pool=\"pricing\"} 2") != std::string::npos);
    BOOST_TEST(text.find("latency_seconds_count 1000") != std::string::npos);
}
