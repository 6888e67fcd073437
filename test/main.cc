// Runs every CppUTest group; CTest calls it once a group (-g NAME).
#include "CppUTest/CommandLineTestRunner.h"

int main(int argc, char** argv) {
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
