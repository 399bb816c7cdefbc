// Entry point shared by all CppUTest programs.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv) {
  // GLib, Boost.Log and Thrift keep process-wide caches, which the leak
  // detector would report as leaks of whichever test ran first.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
