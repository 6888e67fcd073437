// The command line: each subcommand takes what its help shows and refuses the
// rest.
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>

#include "CppUTest/TestHarness.h"
#include "procs.h"
#include "settings.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

// Runs the binary and returns its exit status.
int Run(const std::string& args) {
  std::string line = BinaryPath() + " " + args + " >/dev/null 2>&1";
  int rc = std::system(line.c_str());
  return WIFEXITED(rc) ? WEXITSTATUS(rc) : -1;
}

}  // namespace

TEST_GROUP(command_line){};

// Symptom: `check-settings FILE` says that a file is fine that does not even
// exist. Cause: only --settings was read; the argument was ignored and the
// built-in default was checked in its place.
TEST(command_line, CheckSettingsReadsTheFileItIsGiven) {
  std::string dir = TempDir();
  std::ofstream(dir + "/good.json") << DefaultSettingsJson(7000);
  std::ofstream(dir + "/bad.json") << "{\"version\": 1";
  LONGS_EQUAL(0, Run("check-settings " + dir + "/good.json"));
  LONGS_EQUAL(0, Run("check-settings --settings=" + dir + "/good.json"));
  LONGS_EQUAL(2, Run("check-settings " + dir + "/bad.json"));
  LONGS_EQUAL(2, Run("check-settings " + dir + "/none.json"));
  LONGS_EQUAL(2, Run("check-settings " + dir + "/good.json extra"));
}

TEST(command_line, UnusedArgumentsAreRefused) {
  for (const char* c :
       {"entry", "agent", "fake-engine", "fake-service", "load", "bench",
        "default-settings", "platform-entry", "platform-control"}) {
    LONGS_EQUAL(2, Run(std::string(c) + " extra"));
  }
  LONGS_EQUAL(2, Run("no-such-command"));
  // Without the platform's settings there is nothing to run on.
  LONGS_EQUAL(2, Run("platform-entry"));
}
