/// \file
/// Tests that the request path meets its targets for goodput, lateness and retries, on a virtual clock.
#include "simulate_pvt.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::bench;

namespace {

constexpr double minGoodputShareUnderOverload = 0.95;
constexpr double maxLossFromFaultyEndpoint = 0.02; // share of the requests that a pool without a fault serves
constexpr double healthyShare = 0.9; // nine of ten endpoints have no fault

Scenario scenarioAt(double load, Fault fault = Fault::None)
{
    Scenario scenario;
    scenario.load = load;
    scenario.fault = fault;
    return scenario;
}

double goodputOf(const Scenario& scenario) { return simulate(scenario).goodput(); }

} // namespace

BOOST_AUTO_TEST_CASE(goodputHoldsUnderOverload)
{
    const auto atCapacity = goodputOf(scenarioAt(1));
    BOOST_TEST(goodputOf(scenarioAt(2)) >= minGoodputShareUnderOverload * atCapacity);
    BOOST_TEST(goodputOf(scenarioAt(5)) >= minGoodputShareUnderOverload * atCapacity);
}

BOOST_AUTO_TEST_CASE(acceptedRequestsAreRarelyLate)
{
    const auto result = simulate(scenarioAt(5));
    BOOST_TEST(double(result.late) <= 0.01 * double(result.good));
}

BOOST_AUTO_TEST_CASE(oneFaultyEndpointCostsOnlyItsShareOfCapacity)
{
    for (const auto load : { 0.5, 1.0, 2.0, 5.0 }) {
        const auto healthy = goodputOf(scenarioAt(load));
        const auto served = std::min(load, 1.0) * capacity();
        const auto goodputWithoutFaultyEndpoint = std::min(healthy, healthyShare * capacity());
        for (const auto& [fault, name] : faultNames)
            BOOST_TEST(goodputOf(scenarioAt(load, fault))
                    >= goodputWithoutFaultyEndpoint - maxLossFromFaultyEndpoint * served,
                "load " << load << ", one " << name << " endpoint: " << goodputOf(scenarioAt(load, fault))
                        << " of " << goodputWithoutFaultyEndpoint);
    }
}

BOOST_AUTO_TEST_CASE(retriesAreBoundedUnderOverload)
{
    for (const auto& [fault, name] : faultNames) {
        const auto result = simulate(scenarioAt(5, fault));
        BOOST_TEST(double(result.retries) <= 0.1 * double(result.good) + 10, name);
    }
}
