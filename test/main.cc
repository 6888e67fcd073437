// Runs all CppUTest groups. CTest runs this program once per group (-g NAME).
#include "CppUTest/CommandLineTestRunner.h"
#include "log.h"
#include "metrics.h"

int main(int argc, char** argv) {
  // The log and metrics libraries allocate memory at first use and keep it.
  // They are first used here, outside any test, so that the leak check of a
  // test does not report this memory.
  medlarwalk::InitLog("tests", "warn");
  medlarwalk::LogEvent("tests_started", {});
  medlarwalk::LogWarn("tests_started", {});
  medlarwalk::Metrics metrics("tests");
  metrics.ObserveFirstToken("any", 1);
  metrics.ObserveFirstEventRatio("any", 1);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
