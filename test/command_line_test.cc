// The command line: each subcommand accepts its documented arguments and
// rejects all others.
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
int RunBinary(const std::string& args) {
  std::string line = BinaryPath() + " " + args + " >/dev/null 2>&1";
  int rc = std::system(line.c_str());
  return WIFEXITED(rc) ? WEXITSTATUS(rc) : -1;
}

}  // namespace

TEST_GROUP(command_line){};

// Guards against `check-settings FILE` accepting a file that does not exist.
// The subcommand ignored its argument and checked the file of --settings or the
// built-in default.
TEST(command_line, CheckSettingsReadsTheGivenFile) {
  std::string dir = MakeTempDir();
  std::ofstream(dir + "/good.json") << DefaultSettingsJson(7000);
  std::ofstream(dir + "/bad.json") << "{\"version\": 1";
  LONGS_EQUAL(0, RunBinary("check-settings " + dir + "/good.json"));
  LONGS_EQUAL(0, RunBinary("check-settings --settings=" + dir + "/good.json"));
  LONGS_EQUAL(2, RunBinary("check-settings " + dir + "/bad.json"));
  LONGS_EQUAL(2, RunBinary("check-settings " + dir + "/none.json"));
  LONGS_EQUAL(2, RunBinary("check-settings " + dir + "/good.json extra"));
}

TEST(command_line, UnusedArgumentsAreRejected) {
  for (const char* c :
       {"entry", "agent", "fake-engine", "fake-service", "load", "bench",
        "default-settings", "platform-entry", "platform-control"}) {
    LONGS_EQUAL(2, RunBinary(std::string(c) + " extra"));
  }
  LONGS_EQUAL(2, RunBinary("no-such-command"));
  // platform-entry requires the settings file that the platform provides.
  LONGS_EQUAL(2, RunBinary("platform-entry"));
}
