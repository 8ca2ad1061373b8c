/// \file
/// Fixture with two daemons and two endpoints of one pool, for tests of the request path.
#pragma once

#include "../harness/fleet.h"
#include "../harness/raw_endpoint.h"

#include <boost/test/unit_test.hpp>

namespace damask::harness {

/// A fleet whose pool has no VMs until declare() adds them.
struct RequestFixture {
    explicit RequestFixture(const nlohmann::json& pool = nlohmann::json::object())
    {
        fleet.startEndpoints("east", { "e1", "e2" });
        fleet.startDaemon("a", "east", { "--platform_timeout_ms=500" });
        fleet.startDaemon("b", "east", { "--platform_timeout_ms=500" });
        fleet.publishVmList();
        fleet.create(admin(), "pools", "pricing", pool);
        fleet.create(admin(), "configurations", "current",
            { { "routes",
                { { { "prefix", "/pricing" }, { "pool", "pricing" } },
                    { { "prefix", "/pricing/safe" }, { "pool", "pricing" }, { "idempotent", true } } } } });
    }

    Address admin() { return fleet.daemon("a").admin; }

    /// Adds a VM to the pool and waits until both daemons route to the pool.
    void declare(const std::string& id, const Address& address)
    {
        fleet.create(admin(), "vms", id,
            { { "pool", "pricing" }, { "address", http::toString(address) }, { "dataCentre", "east" },
                { "rack", "r1" } });
        for (auto node : { "a", "b" })
            BOOST_REQUIRE(fleet.eventually([&] { return get(node, "/pricing/ready").status != 404; }));
    }

    HttpResponse get(const std::string& node, const std::string& path)
    {
        auto result = fleet.call(fleet.daemon(node).callers, { "GET", path, "", {}, "" });
        BOOST_REQUIRE(result);
        return *result;
    }

    HttpResponse post(const std::string& node, const std::string& id, const std::string& key = "",
        const std::string& body = "cake")
    {
        HttpRequest request { "POST", "/pricing/order", "", { { "X-Request-Id", id } }, body };
        if (!key.empty())
            request.headers.emplace_back("Idempotency-Key", key);
        auto result = fleet.call(fleet.daemon(node).callers, request);
        BOOST_REQUIRE(result);
        return *result;
    }

    void setMode(const std::string& endpoint, const nlohmann::json& mode)
    {
        fleet.callJson(fleet.endpoint(endpoint).address, "POST", "/_control/mode", mode);
    }

    Fleet fleet;
};

/// Value of the Damask-Outcome header; empty if there is none.
inline std::string outcomeOf(const HttpResponse& response)
{
    return std::string(http::header(response.headers, "Damask-Outcome").value_or(""));
}

/// Whether the response has a Retry-After header.
inline bool hasRetryAfter(const HttpResponse& response)
{
    return http::header(response.headers, "Retry-After").has_value();
}

/// Value of `reason` in the JSON body of a refusal; empty if there is none.
inline std::string reasonOf(const HttpResponse& response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("reason", "") : "";
}

} // namespace damask::harness
