#include <boost/test/unit_test.hpp>

#include <damaskworks/budget.h>

using namespace damask::budget;

BOOST_AUTO_TEST_CASE(disruptionsAndUnhealthyVmsCountAgainstTheBudget)
{
    Usage usage { { { "a", Reason::Wave, "wave/w" } }, { "b" }, 2 };
    BOOST_TEST(unavailableCount(usage) == 2u);
    BOOST_TEST(!mayDisrupt(usage, "c"));
    usage.maxUnavailable = 3;
    BOOST_TEST(mayDisrupt(usage, "c"));
}

BOOST_AUTO_TEST_CASE(vmOutOfServiceIsCountedOnceAndNotDisruptedAgain)
{
    const Usage usage { { { "a", Reason::Failure, "" } }, { "a" }, 5 };
    BOOST_TEST(unavailableCount(usage) == 1u);
    BOOST_TEST(!mayDisrupt(usage, "a"));
}

BOOST_AUTO_TEST_CASE(zeroBudgetAllowsNoDisruption) { BOOST_TEST(!mayDisrupt({ {}, {}, 0 }, "a")); }
