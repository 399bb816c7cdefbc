// Entry point of hickoryctl.

#include <iostream>
#include <string>
#include <vector>

#include "ctl/ctl.h"
#include "kernel/log.h"

int main(int argc, char** argv) {
  // What a command has to say, it prints; the log is for the libraries' faults.
  hickorystand::StartLog({.level = hickorystand::LogLevel::kError});
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return hickorystand::RunCtl(arguments, std::cout, std::cerr);
}
