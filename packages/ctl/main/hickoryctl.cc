// Entry point of hickoryctl.

#include <iostream>
#include <string>
#include <vector>

#include "ctl/ctl.h"
#include "kernel/log.h"

int main(int argc, char** argv) {
  // Commands print their results themselves; only errors of the libraries are
  // logged.
  hickorystand::StartLog({.level = hickorystand::LogLevel::kError});
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return hickorystand::RunCtl(arguments, std::cout, std::cerr);
}
