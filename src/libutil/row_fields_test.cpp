#include <damaskworks/row_fields.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <vector>

using namespace damask;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(row_fields)

BOOST_AUTO_TEST_CASE(integersAreReadInTheirRangeOnly)
{
    const auto read
        = [](const char* text, const IntegerRange& range) { return integerIn(json::parse(text), range); };
    BOOST_TEST((read("-3", { -3, 5 }) == -3));
    BOOST_TEST((read("5", { -3, 5 }) == 5));
    BOOST_TEST((read("9223372036854775807", anyCount) == std::numeric_limits<std::int64_t>::max()));
    for (const auto* text :
        { "6", "-4", "1.0", "1e300", "\"1\"", "true", "null", "[]", "18446744073709551615" })
        BOOST_TEST(!read(text, { -3, 5 }), text);
    BOOST_TEST(!read("18446744073709551615", anyInteger));
    BOOST_TEST(!read("-1", anyCount));
}

BOOST_AUTO_TEST_CASE(missingMembersHaveFallbacksAndOddOnesAreErrors)
{
    const auto object = json::parse(R"({"number":3,"text":"a","flag":true,"list":[1],"object":{"x":1}})");
    RowFields valid(object);
    BOOST_TEST(valid.integer("number", anyCount) == 3);
    BOOST_TEST(valid.integer("missing", anyCount, 7) == 7);
    BOOST_TEST(valid.text("text") == "a");
    BOOST_TEST(valid.text("missing", "b") == "b");
    BOOST_TEST(valid.flag("flag"));
    BOOST_TEST(!valid.flag("missing", false));
    BOOST_TEST(valid.array("list").size() == 1u);
    BOOST_TEST(valid.array("missing", true).empty());
    BOOST_TEST(valid.object("object").size() == 1u);
    BOOST_TEST(valid.isValid());
    const std::vector<std::function<void(RowFields&)>> errors {
        [](RowFields& fields) { fields.integer("missing", anyCount); },
        [](RowFields& fields) { fields.integer("text", anyCount, 7); },
        [](RowFields& fields) {
            fields.integer("number", { 0, 2 }, 1);
        },
        [](RowFields& fields) { fields.text("number", ""); },
        [](RowFields& fields) { fields.text("missing"); },
        [](RowFields& fields) { fields.flag("number", true); },
        [](RowFields& fields) { fields.array("object", true); },
        [](RowFields& fields) { fields.array("missing"); },
        [](RowFields& fields) { fields.object("list", true); },
    };
    for (const auto& readOdd : errors) {
        RowFields fields(object);
        readOdd(fields);
        fields.text("text");
        BOOST_TEST(!fields.isValid());
    }
    for (const auto* text : { "7", "[]", "null", "\"text\"" }) {
        const auto value = json::parse(text);
        RowFields fields(value);
        BOOST_TEST(fields.text("text", "fallback") == "fallback");
        BOOST_TEST(!fields.isValid());
    }
}

BOOST_AUTO_TEST_SUITE_END()
