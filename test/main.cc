// Runs every CppUTest group; CTest calls it once a group (-g NAME).
#include "CppUTest/CommandLineTestRunner.h"
#include "log.h"
#include "metrics.h"

int main(int argc, char** argv) {
  // The log and metrics libraries keep what they allocate at first use;
  // outside any test, so that the leak check of the first test to use them
  // does not see it.
  medlarwalk::InitLog("tests", "warn");
  medlarwalk::LogEvent("tests_started", {});
  medlarwalk::LogWarn("tests_started", {});
  medlarwalk::Metrics metrics("tests");
  metrics.ObserveFirstToken("any", 1);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
