// Subcommands of the program `fakes`, which register themselves:
//
//   const bool kRegistered = Subcommand::Add(
//       {"engine", "Plays a model engine.", &RunEngine});
//
// Each runs until it is told to stop by SIGTERM or SIGINT.

#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/settings.h"

namespace hickorystand::fakes {

// One stand-in as a program.
struct Subcommand {
  std::string name;
  std::string help;  // one line
  // The arguments are those after the name; the result is the exit code.
  std::function<int(std::span<const std::string> arguments)> run;

  // Registers a subcommand while statics are initialised. Always true.
  static bool Add(Subcommand subcommand);

  // All of them, by name.
  static const std::vector<Subcommand>& All();
};

// Values of options given as --NAME VALUE. Unknown names, and names without a
// value, end the program with a message.
class Options {
 public:
  Options(std::span<const std::string> arguments,
          std::vector<std::string> known);

  std::string Text(std::string_view name,
                   const std::string& fallback = "") const;
  int64_t Integer(std::string_view name, int64_t fallback) const;
  // --listen IP:PORT, which is required.
  SocketAddress Listen() const;

 private:
  std::vector<std::pair<std::string, std::string>> values;
};

// Prints where the stand-in listens, and waits for SIGTERM or SIGINT.
void RunUntilStopped(const SocketAddress& listening);

}  // namespace hickorystand::fakes
