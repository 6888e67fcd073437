#include "settings.h"

#include <string>

#include "CppUTest/TestHarness.h"
#include "nlohmann/json.hpp"

using namespace medlarwalk;
using nlohmann::json;

namespace {

json DefaultSettings() { return json::parse(DefaultSettingsJson(7000)); }

// Returns the error message of parsing `doc`; "" when it is accepted.
std::string ParseErrorOf(const json& doc) {
  auto s = ParseSettings(doc.dump());
  return s.ok() ? "" : std::string(s.status().message());
}

}  // namespace

TEST_GROUP(settings){};

TEST(settings, DefaultIsAccepted) {
  auto s = ParseSettings(DefaultSettingsJson(7000));
  CHECK_TRUE(s.ok());
  CHECK_EQUAL(3, static_cast<int>(s->classes.size()));
}

// Guards against lenient parsing, where a typo in a key ("teir") silently
// leaves the default in force.
TEST(settings, UnknownKeyIsRejectedWithItsPath) {
  json d = DefaultSettings();
  d["classes"][1]["teir"] = 2;
  STRCMP_EQUAL("settings: $.classes[1].teir: unknown key",
               ParseErrorOf(d).c_str());
}

TEST(settings, WrongTypeIsRejected) {
  json d = DefaultSettings();
  d["classes"][0]["tier"] = "high";
  STRCMP_EQUAL("settings: $.classes[0].tier: must be a whole number",
               ParseErrorOf(d).c_str());
}

TEST(settings, OutOfRangeIsRejected) {
  json d = DefaultSettings();
  d["hosts"][1]["port"] = 70000;
  STRCMP_EQUAL("settings: $.hosts[1].port: must be from 1 to 65535",
               ParseErrorOf(d).c_str());
}

// Guards against unchecked references. An account names a class that is not
// declared, and without the check its requests would be rejected only at run
// time.
TEST(settings, DanglingClassReferenceIsRejected) {
  json d = DefaultSettings();
  d["accounts"][0]["classes"].push_back("race-day");
  STRCMP_EQUAL(
      "settings: $.accounts[0].classes[2]: class 'race-day' is not declared",
      ParseErrorOf(d).c_str());
}

TEST(settings, DanglingModelAndAgentAreRejected) {
  json d = DefaultSettings();
  d["upstreams"][0]["models"] = {"rating-llm"};
  STRCMP_EQUAL(
      "settings: $.upstreams[0].models[0]: model 'rating-llm' is not declared",
      ParseErrorOf(d).c_str());
  d = DefaultSettings();
  d["upstreams"][0]["agent"] = "entry-1";
  STRCMP_EQUAL(
      "settings: $.upstreams[0].agent: agent host 'entry-1' is not declared",
      ParseErrorOf(d).c_str());
}

TEST(settings, DuplicateNameIsRejected) {
  json d = DefaultSettings();
  d["classes"][2]["name"] = "gate-release";
  STRCMP_EQUAL("settings: $.classes[2].name: duplicate name 'gate-release'",
               ParseErrorOf(d).c_str());
}

TEST(settings, MissingKeyAndNotJsonAreRejected) {
  json d = DefaultSettings();
  d.erase("entry");
  STRCMP_EQUAL("settings: $.entry: missing", ParseErrorOf(d).c_str());
  auto s = ParseSettings("{ not json");
  STRCMP_EQUAL("settings: $: not valid JSON",
               std::string(s.status().message()).c_str());
}

// Guards against a switch that a wrong value turns on without notice.
TEST(settings, SharedLoadIsABooleanThatIsOffByDefault) {
  json d = DefaultSettings();
  CHECK_FALSE(ParseSettings(d.dump())->entry.shared_load);
  d["entry"]["shared_load"] = true;
  CHECK_TRUE(ParseSettings(d.dump())->entry.shared_load);
  d["entry"]["shared_load"] = "yes";
  STRCMP_EQUAL("settings: $.entry.shared_load: must be true or false",
               ParseErrorOf(d).c_str());
}

// Guards against settings that seem to be in force but need another one.
TEST(settings, PlacementByTimesNeedsSharedLoad) {
  for (const char* key : {"timed_placement", "return_precedence"}) {
    json d = DefaultSettings();
    d["entry"][key] = true;
    STRCMP_EQUAL(
        (std::string("settings: $.entry.") + key + ": needs shared_load")
            .c_str(),
        ParseErrorOf(d).c_str());
    d["entry"]["shared_load"] = true;
    STRCMP_EQUAL("", ParseErrorOf(d).c_str());
  }
}
