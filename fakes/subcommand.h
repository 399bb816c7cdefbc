// Subcommands of the program `fakes`. Each registers itself while static
// variables are initialised, and runs until SIGTERM or SIGINT:
//
//   const bool kRegistered = Subcommand::Add(
//       {"engine", "a model engine [--id ID]", &RunEngine});

#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/settings.h"

namespace hickorystand::fakes {

// A subcommand, which runs one stand-in.
struct Subcommand {
  std::string name;
  std::string help;  // one line
  // Receives the arguments after the name; returns the exit code.
  std::function<int(std::span<const std::string> arguments)> run;

  // Registers a subcommand. Always returns true, so that it can initialise a
  // static variable.
  static bool Add(Subcommand subcommand);

  // All subcommands, sorted by name.
  static const std::vector<Subcommand>& All();
};

// Options given as --NAME VALUE. An unknown name, or a name without a value,
// ends the program with exit code 2 and an error message.
class Options {
 public:
  Options(std::span<const std::string> arguments,
          std::vector<std::string> known);

  std::string Text(std::string_view name,
                   const std::string& fallback = "") const;
  int64_t Integer(std::string_view name, int64_t fallback) const;
  // Returns the address of --listen IP:PORT, which is required.
  SocketAddress Listen() const;

 private:
  std::vector<std::pair<std::string, std::string>> values;
};

// Prints the address that the stand-in listens on, and waits for SIGTERM or
// SIGINT.
void RunUntilStopped(const SocketAddress& listening);

}  // namespace hickorystand::fakes
