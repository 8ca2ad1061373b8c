/// \file
/// Tests of the harness's child processes.
#include "process.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace damask::harness;

// A program that could not be started had the process id -1. Signals to it, and the SIGKILL of the
// destructor, went to every process of the machine.
BOOST_AUTO_TEST_CASE(programThatDoesNotExistHasEndedAndGetsNoSignal)
{
    Process process({ binary("no_such_program") });
    BOOST_REQUIRE(process.hasEnded());
    BOOST_TEST(process.wait() == 127);
    process.signal(SIGCONT);
    BOOST_TEST(runCommand({ binary("no_such_program") }).exitCode == 127);
}
