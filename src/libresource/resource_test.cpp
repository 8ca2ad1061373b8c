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

namespace {

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

void applySpec(
    Catalogue& catalogue, Kind kind, const std::string& name, const std::string& spec, TableVersion version)
{
    catalogue.apply(
        { resource::specKey(kind, name), version, "{\"generation\":1,\"spec\":" + spec + "}", false });
}

} // namespace

// Every daemon reads these rows. A value of another type threw an exception that no one caught, so that one
// row ended all daemons, again after each restart.
BOOST_AUTO_TEST_CASE(specRowsThatNoOperatorCanHaveWrittenAreLeftOut)
{
    const std::vector<std::pair<Kind, std::string>> odd {
        { Kind::Vm, "{\"pool\":7}" },
        { Kind::Vm, "{\"pool\":\"p\",\"address\":5}" },
        { Kind::Vm, "{\"pool\":\"p\",\"address\":\"127.0.0.1:65536\"}" },
        { Kind::Vm, "{\"pool\":\"p\",\"address\":\"127.0.0.1:0\"}" },
        { Kind::Vm, "{\"pool\":\"p\",\"address\":\"127.0.0.1:-1\"}" },
        { Kind::Vm, "{\"pool\":\"p\",\"cpu\":1e300}" },
        { Kind::Vm, "{\"pool\":\"p\",\"labels\":" + nested(100'000) + "}" },
        { Kind::Pool, "{\"slotsPerVm\":\"many\"}" },
        { Kind::Pool, "{\"slotsPerVm\":-1}" },
        { Kind::Pool, "{\"slotsPerVm\":4294967297}" },
        { Kind::Pool, "{\"requestTimeoutMs\":1e300}" },
        { Kind::Pool, "{\"queueLimit\":18446744073709551615}" },
        { Kind::Job, "{\"pool\":\"p\",\"cpu\":[]}" },
        { Kind::Budget, "{\"pool\":\"p\",\"maxUnavailable\":-1}" },
        { Kind::Wave, "{\"pool\":\"p\",\"stopAfterFailures\":1e300}" },
        { Kind::Team, "{\"cpu\":null}" },
        { Kind::Configuration, "{\"routes\":7}" },
        { Kind::Configuration, "{\"routes\":[7]}" },
        { Kind::Configuration, "{\"routes\":[{\"prefix\":7}]}" },
        { Kind::Configuration, "{\"routes\":[],\"policy\":[]}" },
        { Kind::Configuration, "{\"routes\":[],\"policy\":{\"move\":7}}" },
        { Kind::Configuration, "{\"routes\":[],\"policy\":{\"maintenance\":{\"rebootTimeoutMs\":1e300}}}" },
    };
    for (const auto& [kind, spec] : odd) {
        Catalogue catalogue;
        applySpec(catalogue, kind, "a-good", "{\"unknown\":1}", 1);
        applySpec(catalogue, kind, "odd", spec, 2);
        applySpec(catalogue, kind, "z-good", "{}", 3);
        BOOST_TEST(catalogue.list(kind).size() == 2u, spec.substr(0, 80));
        applySpec(catalogue, kind, "odd", "{}", 4);
        BOOST_TEST(catalogue.list(kind).size() == 3u, spec.substr(0, 80));
    }
}

BOOST_AUTO_TEST_CASE(integersWrittenAsDecimalsAreRead)
{
    Catalogue catalogue;
    applySpec(catalogue, Kind::Team, "t", "{\"cpu\":4,\"memoryMb\":1e6}", 1);
    BOOST_TEST(catalogue.list(Kind::Team).size() == 1u);
}

// A generation above those of all later configurations kept these from being applied.
BOOST_AUTO_TEST_CASE(specRowsWithAnOddGenerationAreLeftOut)
{
    for (const auto* generation :
        { "-1", "1.5", "1e300", "1e999", "18446744073709551615", "\"1\"", "null" }) {
        Catalogue catalogue;
        catalogue.apply({ resource::specKey(Kind::Pool, "p"), 1,
            std::string("{\"generation\":") + generation + ",\"spec\":{}}", false });
        BOOST_TEST(catalogue.list(Kind::Pool).empty(), generation);
    }
}

BOOST_AUTO_TEST_CASE(oddFieldsOfAStatusHideNoOthers)
{
    const std::vector<std::tuple<Kind, std::string, std::string>> odd {
        { Kind::Vm, "pool", "7" },
        { Kind::Vm, "attempt", "-1" },
        { Kind::Vm, "attempt", "4294967296" },
        { Kind::Vm, "incarnationBefore", "1e300" },
        { Kind::Pool, "disruptions", "[7]" },
        { Kind::Pool, "disruptions", "[{\"vm\":7}]" },
        { Kind::Pool, "conditions", "{\"type\":\"x\"}" },
        { Kind::Wave, "doneVms", "[7]" },
        { Kind::Wave, "total", "-1" },
        { Kind::Job, "failedOn", "\"v1\"" },
        { Kind::Job, "conditions", "[[]]" },
        { Kind::Job, "epoch", "-1" },
    };
    for (const auto& [kind, field, text] : odd) {
        Catalogue catalogue;
        applySpec(catalogue, kind, "r", "{}", 1);
        catalogue.apply({ resource::statusKey(kind, "r"), 2,
            "{\"" + field + "\":" + text + ",\"phase\":\"draining\",\"kept\":1}", false });
        const auto& status = catalogue.find(kind, "r")->status;
        BOOST_TEST(!status.contains(field), field << " " << text);
        BOOST_TEST(status.value("phase", "") == "draining");
        BOOST_TEST(status.contains("kept"));
    }
    Catalogue catalogue;
    applySpec(catalogue, Kind::Vm, "v", "{}", 1);
    catalogue.apply({ resource::statusKey(Kind::Vm, "v"), 2, "{\"other\":" + nested(100'000) + "}", false });
    BOOST_TEST(catalogue.find(Kind::Vm, "v")->status.empty());
    BOOST_TEST(catalogue.statusVersion(Kind::Vm, "v") == 2u);
}
