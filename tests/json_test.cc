// Tests of the JSON reader and writer.

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "kernel/json.h"

namespace hickorystand {
namespace {

using std::string_literals::operator""s;

constexpr int kManyBrackets = 900'000;

std::string Repeat(const std::string& part, int times) {
  std::string text;
  for (int i = 0; i < times; ++i) {
    text += part;
  }
  return text;
}

bool IsRead(const std::string& text, const JsonLimits& limits = {}) {
  return Json::Parse(text, limits).has_value();
}

}  // namespace

TEST_GROUP(Json){};

// Guards against a stack overflow: what a lenient reader skips must not hide
// how deep the rest nests.
TEST(Json, RefusesDeepNestingBehindAnyPrefix) {
  for (const std::string prefix :
       {"", "/*\"*/", "'\"'", "{\"a\":1 /*\"*/,\"b\":", "//\"\n", "#\"\n",
        "var x = ", "\"\\", "\xef\xbb\xbf", "[\"\\\"\",", "{'\"':"}) {
    CHECK(!IsRead(prefix + std::string(kManyBrackets, '[')));
    CHECK(!IsRead(prefix + Repeat("{\"a\":", kManyBrackets / 5)));
    CHECK(!IsRead(prefix + Repeat("[{\"a\":", kManyBrackets / 6)));
  }
}

// Guards against extensions of JSON, which other readers of the same bytes
// understand differently.
TEST(Json, RefusesWhatIsNotStrictJson) {
  for (const char* text :
       {"",        " ",      "/* a */ 1", "1 // a\n", "# a\n1",      "'a'",
        "{'a':1}", "{a:1}",  "var x = 1", "[1,]",     "{\"a\":1,}",  "01",
        "+1",      ".5",     "1.",        "0x1",      "NaN",         "Infinity",
        "1e999",   "[1] 2",  "\"a\nb\"",  "\"\\x\"",  "\"\\ud800\"", "\"\xff\"",
        "[",       "{\"a\"", "\"a",       "TRUE"}) {
    CHECK_TEXT(!IsRead(text), text);
  }
}

TEST(Json, StopsAtItsLimits) {
  const JsonLimits limits{.max_depth = 2, .max_values = 4, .max_bytes = 20};
  CHECK(IsRead("[[1,2]]", limits));
  CHECK(!IsRead("[[[]]]", limits));
  CHECK(IsRead("[1,2,3]", limits));
  CHECK(!IsRead("[1,2,3,4]", limits));
  CHECK(IsRead("\"" + std::string(18, 'a') + "\"", limits));
  CHECK(!IsRead("\"" + std::string(19, 'a') + "\"", limits));
  CHECK(IsRead(R"("\u0000")"));
  CHECK(!IsRead(R"("\u0000")", {.allow_nul = false}));
  CHECK(!IsRead(R"({"\u0000":1})", {.allow_nul = false}));
  CHECK(IsRead(R"("\\u0000")", {.allow_nul = false}));
}

TEST(Json, ReadsValuesOfEachType) {
  const Json json =
      Json::Parse(
          R"( {"text":"a\u00e9\ud83d\ude00\u0000b","whole":-7,"real":1.0,)"
          R"("flag":true,"none":null,"list":[1,"2",3.5],"twice":1,"twice":2,)"
          R"("wide":"9223372036854775807","over":9223372036854775808} )")
          .value();
  CHECK(json.At("text").Text() == std::string("aé😀\0b", 9));
  LONGS_EQUAL(-7, json.At("whole").Integer());
  CHECK(json.At("whole").IsInteger() && json.At("whole").IsNumber());
  CHECK(!json.At("real").IsInteger());
  DOUBLES_EQUAL(1, json.At("real").Number(), 0);
  CHECK(json.At("flag").Flag());
  CHECK(json.At("none").Exists());
  CHECK(!json.At("absent").Exists());
  CHECK((json.At("list").Integers() == std::vector<int64_t>{1, 2, 0}));
  LONGS_EQUAL(2, json.At("twice").Integer());
  LONGLONGS_EQUAL(INT64_MAX, json.At("wide").Integer());
  CHECK(!json.At("over").IsInteger());
  DOUBLES_EQUAL(9223372036854775808.0, json.At("over").Number(), 0);
  LONGS_EQUAL(5, json.At("over").Integer(5));
}

TEST(Json, WritesWhatItReads) {
  JsonWriter out;
  out.BeginObject()
      .Member("text", std::string("a\"\\\n\x01\0é", 8))
      .Member("whole", 7)
      .Member("real", 0.7)
      .Member("one", 1.0)
      .Member("flag", false)
      .Member("part", Json::Parse(R"({"x":[1,{}]})").value());
  out.Name("list").BeginArray().Value(1).Value("b").BeginArray().EndArray();
  out.EndArray().EndObject();
  STRCMP_EQUAL(R"({"text":"a\"\\\n\u0001\u0000é","whole":7,"real":0.7,)"
               R"("one":1.0,"flag":false,"part":{"x":[1,{}]},)"
               R"("list":[1,"b",[]]})",
               out.Text().c_str());
  STRCMP_EQUAL("{\n  \"b\": [\n    1\n  ],\n  \"a\": 2\n}", JsonWriter()
                                                                .BeginObject()
                                                                .Name("b")
                                                                .BeginArray()
                                                                .Value(1)
                                                                .EndArray()
                                                                .Member("a", 2)
                                                                .EndObject()
                                                                .Text(true)
                                                                .c_str());
}

// Guards against a document that can't be read back because a string in it
// isn't UTF-8.
TEST(Json, ReplacesBytesThatAreNotUtf8) {
  const std::string text = JsonWriter().Value("a\xff").Text();
  STRCMP_EQUAL("a\xef\xbf\xbd", Json::Parse(text).value().Text().c_str());
}

// Damaged documents are read or refused; what is read can be written and read
// again.
TEST(Json, SurvivesDamage) {
  const std::string whole =
      R"({"a":[1,-2.5e3,{"b":"c\u00e9\"\\"}],"d":{"e":[[],{}],"f":null},)"
      R"("g":true,"h":"\ud83d\ude00","i":12345678901234567890})";
  const bool survived = rc::check([&] {
    std::string text = whole;
    const auto hits =
        *rc::gen::container<std::vector<std::pair<size_t, char>>>(rc::gen::pair(
            rc::gen::inRange<size_t>(0, whole.size()),
            rc::gen::elementOf("{}[]\",:'/*#\\\0\n 019-+.eEtnfu\x7f\xff"s)));
    for (const auto& [at, byte] : hits) {
      text[at] = byte;
    }
    if (const auto json = Json::Parse(text)) {
      const auto again = Json::Parse(json->Write());
      RC_ASSERT(again.has_value());
      RC_ASSERT(again->Write() == json->Write());
    }
  });
  CHECK(survived);
}

}  // namespace hickorystand
