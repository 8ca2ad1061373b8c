#include <boost/test/unit_test.hpp>

#include <damaskworks/json_input.h>

#include <string>

using namespace damask;

namespace {

/// \p levels arrays within each other.
std::string nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

} // namespace

BOOST_AUTO_TEST_SUITE(json_input)

BOOST_AUTO_TEST_CASE(depthIsCountedOutsideStringsOnly)
{
    BOOST_TEST(isJsonDepthAtMost("[[{}]]", 3));
    BOOST_TEST(!isJsonDepthAtMost("[[{}]]", 2));
    BOOST_TEST(isJsonDepthAtMost("[[],[],[],{}]", 2));
    BOOST_TEST(isJsonDepthAtMost(R"({"a":"[[[[[["})", 1));
    BOOST_TEST(isJsonDepthAtMost(R"({"a":"\"[[[[","b":"\\"})", 1));
    BOOST_TEST(!isJsonDepthAtMost(R"({"a":"\\\\","b":[[]]})", 2));
    BOOST_TEST(isJsonDepthAtMost("]]]][[]]", 2));
    BOOST_TEST(isJsonDepthAtMost("\"[[[", 0));
    BOOST_TEST(isJsonDepthAtMost("", 0));
}

BOOST_AUTO_TEST_CASE(deeplyNestedDocumentIsRejected)
{
    BOOST_TEST(parseJson(nested(maxJsonDepth)).is_array());
    for (const auto levels : { maxJsonDepth + 1, std::size_t(50'000), std::size_t(2'000'000) })
        BOOST_TEST(parseJson(nested(levels)).is_discarded());
    BOOST_TEST(parseJson(std::string(100'000, '[')).is_discarded());
    BOOST_TEST(parseJson("{\"a\":1e999}").is_discarded());
    BOOST_TEST(parseJson("{\"a\":").is_discarded());
}

BOOST_AUTO_TEST_CASE(objectsAndArraysAreSplit)
{
    const auto members = splitJsonObject(" { \"a\" : [1, {\"b\":2}] , \"c,}\":\"x,\\\"]\" }\n");
    BOOST_REQUIRE(members);
    BOOST_REQUIRE(members->size() == 2);
    BOOST_TEST((*members)[0].name == "a");
    BOOST_TEST((*members)[0].value == "[1, {\"b\":2}]");
    BOOST_TEST((*members)[1].name == "c,}");
    BOOST_TEST((*members)[1].value == "\"x,\\\"]\"");
    const auto entries = splitJsonArray("[ 1e999 ,[[]],\"a\" ]");
    BOOST_REQUIRE(entries);
    BOOST_REQUIRE(entries->size() == 3);
    BOOST_TEST((*entries)[0] == "1e999");
    BOOST_TEST((*entries)[1] == "[[]]");
    BOOST_TEST((*entries)[2] == "\"a\"");
    BOOST_TEST(splitJsonObject("{}")->empty());
    BOOST_TEST(splitJsonArray(" [ ] ")->empty());
}

BOOST_AUTO_TEST_CASE(brokenObjectsAndArraysAreNotSplit)
{
    for (const auto* text : { "", "[", "]", "{", "[1", "[1]]", "[[1]", "[\"a]", "[1}", "1" })
        BOOST_TEST(!splitJsonArray(text), text);
    for (const auto* text : { "", "{1}", "{\"a\"}", "{\"a\":1", "{\"a\":1,}", "{\"a\":1}}", "{\"a:1}", "[]" })
        BOOST_TEST(!splitJsonObject(text), text);
}

BOOST_AUTO_TEST_CASE(unreadableMembersAreLeftOut)
{
    const auto value = parseReadableMembers(R"({"a":1,"b":1e999,"c":)" + nested(1000) + R"(,"d":"x"})");
    BOOST_TEST(value == nlohmann::json({ { "a", 1 }, { "d", "x" } }));
    BOOST_TEST(parseReadableMembers("[1]").is_discarded());
}

BOOST_AUTO_TEST_CASE(unreadableEntryOfAListDoesNotHideTheOthers)
{
    const auto text
        = R"({"ver":7,"rows":[{"key":"a"},{"key":1e999},)" + nested(50'000) + R"(,{"key":"b"}],"more":true})";
    const auto value = parseJsonWithList(text, "rows");
    BOOST_TEST(value.object
        == nlohmann::json({ { "ver", 7 }, { "rows", nlohmann::json::array() }, { "more", true } }));
    BOOST_REQUIRE(value.entries.size() == 4);
    BOOST_TEST(parseJson(value.entries[0]) == nlohmann::json({ { "key", "a" } }));
    BOOST_TEST(parseJson(value.entries[1]).is_discarded());
    BOOST_TEST(parseJson(value.entries[2]).is_discarded());
    BOOST_TEST(parseJson(value.entries[3]) == nlohmann::json({ { "key", "b" } }));
}

BOOST_AUTO_TEST_CASE(documentWithoutTheListHasNoEntries)
{
    BOOST_TEST(parseJsonWithList(R"({"ver":7})", "rows").object == nlohmann::json({ { "ver", 7 } }));
    BOOST_TEST(parseJsonWithList(R"({"rows":5})", "rows").object == nlohmann::json({ { "rows", 5 } }));
    BOOST_TEST(parseJsonWithList(R"({"rows":[1],"ver":1e999})", "rows").object.is_discarded());
    BOOST_TEST(parseJsonWithList(R"({"rows":[1],"ver":1e999})", "rows").entries.empty());
    BOOST_TEST(parseJsonWithList(R"({"rows":[1])", "rows").object.is_discarded());
    BOOST_TEST(parseJsonWithList("[1]", "rows").object.is_discarded());
}

BOOST_AUTO_TEST_SUITE_END()
