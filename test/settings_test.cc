#include "settings.h"

#include <string>

#include "CppUTest/TestHarness.h"
#include "nlohmann/json.hpp"

using namespace medlarwalk;
using nlohmann::json;

namespace {

json Default() { return json::parse(DefaultSettingsJson(7000)); }

// The error message of parsing `doc`; "" when it was accepted.
std::string Refusal(const json& doc) {
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

// Symptom: a typo in a key ("teir") would silently leave the default.
// Sequence: operator writes an unknown key. Cause: lenient parsing.
TEST(settings, UnknownKeyIsRefusedWithItsPath) {
  json d = Default();
  d["classes"][1]["teir"] = 2;
  STRCMP_EQUAL("settings: $.classes[1].teir: unknown key", Refusal(d).c_str());
}

TEST(settings, WrongTypeIsRefused) {
  json d = Default();
  d["classes"][0]["tier"] = "high";
  STRCMP_EQUAL("settings: $.classes[0].tier: must be a whole number",
               Refusal(d).c_str());
}

TEST(settings, OutOfRangeIsRefused) {
  json d = Default();
  d["hosts"][1]["port"] = 70000;
  STRCMP_EQUAL("settings: $.hosts[1].port: must be from 1 to 65535",
               Refusal(d).c_str());
}

// Symptom: requests of a class named by an account but never declared would
// be refused at run time, far from the mistake. Cause: references unchecked.
TEST(settings, DanglingClassReferenceIsRefused) {
  json d = Default();
  d["accounts"][0]["classes"].push_back("race-day");
  STRCMP_EQUAL(
      "settings: $.accounts[0].classes[2]: class 'race-day' is not declared",
      Refusal(d).c_str());
}

TEST(settings, DanglingModelAndAgentAreRefused) {
  json d = Default();
  d["upstreams"][0]["models"] = {"rating-llm"};
  STRCMP_EQUAL(
      "settings: $.upstreams[0].models[0]: model 'rating-llm' is not declared",
      Refusal(d).c_str());
  d = Default();
  d["upstreams"][0]["agent"] = "entry-1";
  STRCMP_EQUAL(
      "settings: $.upstreams[0].agent: agent host 'entry-1' is not declared",
      Refusal(d).c_str());
}

TEST(settings, DuplicateNameIsRefused) {
  json d = Default();
  d["classes"][2]["name"] = "gate-release";
  STRCMP_EQUAL("settings: $.classes[2].name: duplicate name 'gate-release'",
               Refusal(d).c_str());
}

TEST(settings, MissingKeyAndNotJsonAreRefused) {
  json d = Default();
  d.erase("entry");
  STRCMP_EQUAL("settings: $.entry: missing", Refusal(d).c_str());
  auto s = ParseSettings("{ not json");
  STRCMP_EQUAL("settings: $: not valid JSON",
               std::string(s.status().message()).c_str());
}
