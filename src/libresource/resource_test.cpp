#include <boost/test/unit_test.hpp>

#include <damaskworks/catalogue.h>
#include <damaskworks/resource.h>

#include <rapidcheck/boost_test.h>

using namespace damask;
using nlohmann::json;

BOOST_AUTO_TEST_CASE(keysRoundTrip)
{
    for (const auto& [kind, name] : kindNames) {
        auto parsed = resource::parseKey(resource::statusKey(kind, "x-1"));
        BOOST_REQUIRE(parsed);
        BOOST_TEST(parsed->isStatus);
        BOOST_TEST((parsed->kind == kind));
        BOOST_TEST(parsed->name == "x-1");
    }
    BOOST_TEST(!resource::parseKey("o/1").has_value());
}

BOOST_AUTO_TEST_CASE(defaultsAreFilledIn)
{
    json spec = json::object();
    BOOST_TEST(resource::validate(Kind::Pool, "pricing", spec).empty());
    BOOST_TEST(spec["slotsPerVm"] == 8);
}

BOOST_AUTO_TEST_CASE(everyInvalidFieldIsReported)
{
    json spec = { { "pool", "Bad Name" }, { "cpu", -1 }, { "memoryMb", "big" }, { "colour", "red" } };
    auto errors = resource::validate(Kind::Job, "j", spec);
    BOOST_TEST(errors.size() == 4u);
    spec = { { "routes", json::array({ { { "prefix", "no-slash" }, { "pool", "p" } } }) } };
    errors = resource::validate(Kind::Configuration, "current", spec);
    BOOST_REQUIRE(errors.size() == 1u);
    BOOST_TEST(errors[0].field == "spec.routes[0].prefix");
}

/// After any sequence of row changes and deletions, the index by pool must give the same VMs as a scan of all
/// VMs.
RC_BOOST_PROP(poolIndexMatchesFullScan, ())
{
    Catalogue catalogue;
    TableVersion version = 0;
    const std::vector<std::string> pools { "a", "b", "c" };
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
        const auto name = "vm-" + std::to_string(*rc::gen::inRange(0, 6));
        const auto pool = *rc::gen::elementOf(pools);
        const bool isStatus = *rc::gen::arbitrary<bool>();
        const json spec = { { "generation", 1 }, { "spec", { { "pool", pool } } } };
        const json status = { { "pool", pool } };
        const auto key = isStatus ? resource::statusKey(Kind::Vm, name) : resource::specKey(Kind::Vm, name);
        const bool deleted = *rc::gen::inRange(0, 4) == 0;
        catalogue.apply({ key, ++version, deleted ? "" : (isStatus ? status : spec).dump(), deleted });
    }
    for (const auto& pool : pools) {
        auto scanned = catalogue.list(Kind::Vm);
        std::erase_if(scanned,
            [&](const Resource* vm) { return vm->status.value("pool", vm->spec.value("pool", "")) != pool; });
        RC_ASSERT(catalogue.listByPool(Kind::Vm, pool) == scanned);
    }
}
