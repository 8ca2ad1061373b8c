/// \file
/// A running daemon with rows of its table that another writer has damaged, and with odd bodies of requests.
#include "../harness/fleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>

using namespace damask;
using namespace damask::harness;
using nlohmann::json;

namespace {

constexpr std::size_t deep = 100'000;

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

struct RowsFixture {
    RowsFixture()
    {
        fleet.startEndpoints("east", { "e1", "e2" });
        fleet.startDaemon("a", "east");
        fleet.publishVmList();
        admin = fleet.daemon("a").admin;
        fleet.declarePool(admin, "pricing", { "e1", "e2" });
        fleet.create(admin, "configurations", "current", routes("/pricing"));
    }

    static json routes(const std::string& prefix)
    {
        return { { "routes", { { { "prefix", prefix }, { "pool", "pricing" } } } } };
    }

    /// Writes a row past the API.
    void writeRow(const std::string& key, const std::string& value)
    {
        const json body = { { "writes", { { { "key", key }, { "value", value } } } } };
        BOOST_REQUIRE(fleet.callJson(fleet.platform(), "POST", "/table/commit", body).first == 200);
    }

    void writeSpec(const std::string& kindAndName, const std::string& spec)
    {
        writeRow("f/r/" + kindAndName, "{\"generation\":1,\"spec\":" + spec + "}");
    }

    int statusOf(const std::string& method, const std::string& path, const std::string& body)
    {
        const auto result = fleet.call(admin, { method, path, "", {}, body });
        return result ? result->status : 0;
    }

    bool hasEnded() { return fleet.daemon("a").process->hasEnded(); }

    /// Requires that the daemon still runs and follows the table after \p change.
    void requireFollowing(const std::string& change)
    {
        const auto name = "later-" + std::to_string(++laterPools);
        fleet.callJson(admin, "POST", "/v1/pools", { { "name", name }, { "spec", json::object() } });
        const bool isFollowing = fleet.eventually([&] {
            if (hasEnded())
                return true;
            return fleet.callJson(admin, "GET", "/v1/pools").second.dump().find(name) != std::string::npos;
        });
        if (hasEnded())
            BOOST_FAIL(change << " ended the daemon with exit code " << fleet.daemon("a").process->wait());
        BOOST_REQUIRE_MESSAGE(isFollowing, change << " hides later rows");
    }

    int laterPools = 0;
    Fleet fleet;
    Address admin;
};

} // namespace

// One such row ended every daemon, again after each restart, since all read all rows.
BOOST_FIXTURE_TEST_CASE(daemonFollowsTheTableBesideOddRows, RowsFixture)
{
    Process watcher({ binary("damaskctl"), "watch", "--server=" + http::toString(admin) });
    const std::vector<std::pair<std::string, std::string>> oddSpecs {
        { "vm/odd", "{\"pool\":\"pricing\",\"address\":5}" },
        { "vm/odd", "{\"pool\":\"pricing\",\"address\":\"127.0.0.1:65536\",\"dataCentre\":\"east\"}" },
        { "vm/odd", "{\"pool\":[],\"address\":\"127.0.0.1:1\"}" },
        { "vm/odd", "{\"pool\":\"pricing\",\"labels\":" + nested(deep) + "}" },
        { "vm/odd", nested(deep) },
        { "pool/odd", "{\"slotsPerVm\":\"many\"}" },
        { "pool/odd", "{\"slotsPerVm\":18446744073709551615}" },
        { "pool/odd", "{\"requestTimeoutMs\":1e300}" },
        { "pool/odd", "{\"requestTimeoutMs\":1e999}" },
        { "job/odd", "{\"pool\":\"pricing\",\"cpu\":\"all\"}" },
        { "wave/odd", "{\"pool\":\"pricing\",\"stopAfterFailures\":-1}" },
        { "budget/odd", "{\"pool\":\"pricing\",\"maxUnavailable\":[]}" },
        { "configuration/current", "{\"routes\":[7]}" },
        { "configuration/current", "{\"routes\":[],\"policy\":{\"move\":" + nested(deep) + "}}" },
    };
    for (const auto& [name, spec] : oddSpecs) {
        writeSpec(name, spec);
        requireFollowing(name + " " + spec.substr(0, 80));
    }
    const std::vector<std::pair<std::string, std::string>> oddRows {
        { "f/r/pool/odd", "{\"generation\":\"x\",\"spec\":{}}" },
        { "f/r/configuration/current", "{\"generation\":18446744073709551615,\"spec\":{\"routes\":[]}}" },
        { "f/s/vm/e2", "{\"pool\":\"pricing\",\"attempt\":-1,\"operation\":[]}" },
        { "f/s/vm/e2", "{\"other\":" + nested(deep) + "}" },
        { "f/s/pool/pricing", "{\"disruptions\":[7],\"conditions\":[[]]}" },
        { "l/pool/pricing", "{\"holder\":7}" },
        { "l/jobs/jobs", "{\"holder\":\"x\",\"epoch\":" + nested(deep) + "}" },
    };
    for (const auto& [key, value] : oddRows) {
        writeRow(key, value);
        requireFollowing(key + " " + value.substr(0, 80));
    }
    BOOST_TEST(!watcher.hasEnded());
    const auto vms = fleet.callJson(admin, "GET", "/v1/vms").second["items"];
    BOOST_TEST(vms.size() == 2u);

    // A good configuration is applied after the odd ones.
    writeSpec("configuration/current", routes("/other").dump());
    BOOST_TEST(fleet.eventually([&] {
        const auto answer = fleet.call(fleet.daemon("a").callers, { "GET", "/other/x", "", {}, "" });
        return answer && answer->status == 200;
    }));
    BOOST_TEST(!hasEnded());
}

BOOST_FIXTURE_TEST_CASE(deeplyNestedBodiesAreRejected, RowsFixture)
{
    const auto odd = nested(deep);
    const std::string good = R"({"pool":"pricing","address":"127.0.0.1:1","dataCentre":"east","rack":"r"})";
    BOOST_TEST(statusOf("POST", "/v1/pools", odd) == 400);
    BOOST_TEST(statusOf("POST", "/v1/pools", "{\"name\":\"p\",\"spec\":{\"colour\":" + odd + "}}") == 400);
    BOOST_TEST(statusOf("POST", "/v1/pools", "{\"name\":" + odd + "}") == 400);
    BOOST_TEST(statusOf("PUT", "/v1/pools/pricing", "{\"resourceVersion\":" + odd + "}") == 400);
    BOOST_TEST(statusOf("PUT", "/v1/pools/pricing", "{\"resourceVersion\":1,\"spec\":" + odd + "}") == 400);
    BOOST_TEST(statusOf("POST", "/v1/vms/e1/move", "{\"pool\":" + odd + "}") == 400);
    BOOST_TEST(statusOf("POST", "/v1/vms", "{\"name\":\"v\",\"spec\":" + good + "}") == 201);
    BOOST_TEST(!hasEnded());
}

BOOST_FIXTURE_TEST_CASE(numbersAndPortsOutOfRangeNameTheField, RowsFixture)
{
    const auto fieldOf = [this](const std::string& path, const std::string& body) {
        const auto result = fleet.call(admin, { "POST", path, "", {}, body });
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 422, body);
        return json::parse(result->body)["fields"][0].value("field", "");
    };
    for (const auto* port : { "0", "65536", "-1", "", "99999999999999999999" })
        BOOST_TEST(fieldOf("/v1/vms",
                       std::string(R"({"name":"v","spec":{"pool":"pricing","address":"127.0.0.1:)") + port
                           + R"(","dataCentre":"east","rack":"r"}})")
            == "spec.address");
    for (const auto* slots : { "18446744073709551615", "4294967297", "1e300", "-1" })
        BOOST_TEST(fieldOf("/v1/pools", std::string(R"({"name":"p","spec":{"slotsPerVm":)") + slots + "}}")
            == "spec.slotsPerVm");
    BOOST_TEST(statusOf("POST", "/v1/pools", R"({"name":"p","spec":{"weight":1e999}})") == 400);
}

BOOST_FIXTURE_TEST_CASE(deeplyNestedSpecOfTheCommandLineIsAUsageError, RowsFixture)
{
    const std::string path = "/tmp/damask-deep-spec-" + std::to_string(fleet.daemon("a").process->pid());
    std::ofstream(path) << "{\"colour\":" << nested(deep) << "}";
    const auto result = runCommand({ binary("damaskctl"), "create", "pool", "p",
        "--server=" + http::toString(admin), "--file=" + path });
    std::remove(path.c_str());
    BOOST_TEST(result.exitCode == 2);
}
