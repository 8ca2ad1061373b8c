/// \file
/// damaskctl with a server that sends odd responses.
#include "../harness/process.h"

#include <damaskworks/http.h>
#include <damaskworks/loop.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;

namespace {

/// Runs damaskctl with \p words against a server that sends \p body to every request; returns the exit code.
int exitCodeWith(const std::string& body, std::vector<std::string> words, int status = 200)
{
    Loop loop;
    HttpServer server(loop.base(), HttpLimits {}, [&](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->reply({ status, {}, body });
    });
    const Address address { "127.0.0.1", *server.listen({ "127.0.0.1", 0 }) };
    words.insert(words.begin(), binary("damaskctl"));
    words.push_back("--server=" + http::toString(address));
    Process process(words);
    BOOST_REQUIRE(loop.runUntil([&] { return process.hasEnded(); }, 20s));
    return process.wait();
}

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

} // namespace

// The type error ended the command with a signal and without a word about the response.
BOOST_AUTO_TEST_CASE(oddResponsesAreAFailureOfTheCommand)
{
    for (const auto& body : { std::string("{}"), std::string("[]"), std::string("7"), std::string(),
             std::string("{\"items\":7,\"nodes\":7}"), std::string("{\"items\":[7],\"nodes\":[7]}"),
             std::string("{\"items\":[{\"name\":7,\"spec\":{},\"status\":{},\"resourceVersion\":1}],"
                         "\"nodes\":[{\"node\":7}]}"),
             "{\"items\":" + nested(100'000) + ",\"nodes\":" + nested(100'000) + "}" }) {
        for (const std::vector<std::string>& words :
            { std::vector<std::string> { "list", "pools" }, std::vector<std::string> { "rollout" },
                std::vector<std::string> { "status" }, std::vector<std::string> { "delete", "pool", "p" },
                std::vector<std::string> { "wave", "w" } })
            BOOST_TEST(exitCodeWith(body, words) == 1, words[0] << ": " << body.substr(0, 60));
    }
}

BOOST_AUTO_TEST_CASE(oddErrorResponsesKeepTheExitCodeOrFail)
{
    for (const auto& body : { std::string("{\"error\":7}"), std::string("{\"fields\":7}"),
             std::string("{\"fields\":[{\"field\":7}]}"), std::string("{\"fields\":[7]}"),
             "{\"error\":" + nested(100'000) + "}" }) {
        const int code = exitCodeWith(body, { "list", "pools" }, 422);
        BOOST_TEST((code == 5 || code == 1), body.substr(0, 60) << " gave " << code);
    }
}

// The bar was as long as the number of VMs that were done.
BOOST_AUTO_TEST_CASE(waveWithOddCountsHasAFullOrEmptyBar)
{
    const auto wave = [](const std::string& counts) {
        return "{\"name\":\"w\",\"spec\":{},\"status\":{\"phase\":\"finished\"," + counts + "}}";
    };
    BOOST_TEST(exitCodeWith(wave("\"total\":2,\"done\":2147483647"), { "wave", "w" }) == 0);
    BOOST_TEST(exitCodeWith(wave("\"total\":18446744073709551615,\"done\":1"), { "wave", "w" }) == 0);
}
