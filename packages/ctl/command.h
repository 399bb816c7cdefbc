// The commands of hickoryctl, as one table. The help pages, the shell
// completion, the parsing of options and the dispatch are all driven by it.
//
// Index
//   CommandOption   an option of one command
//   Invocation      the parsed command line
//   Command         a row of the table
//   AllCommands     the table

#pragma once

#include <span>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "ctl/session.h"
#include "kernel/error.h"

namespace hickorystand {

// An option of a command, in addition to the options common to all commands.
struct CommandOption {
  std::string name;
  std::string help;
  bool takes_value = false;
};

// The arguments and options of one command line.
struct Invocation {
  std::vector<std::string> arguments;  // without options and command name
  const cxxopts::ParseResult* options = nullptr;

  bool Has(const std::string& option) const {
    return this->options->count(option) > 0;
  }
  std::string Value(const std::string& option) const {
    return this->Has(option) ? (*this->options)[option].as<std::string>() : "";
  }
};

// One command. `run` executes it and returns true or an error, whose kind
// determines the exit code.
struct Command {
  std::string name;       // one or two words, such as "key add"
  std::string arguments;  // for help, such as "ACCOUNT"
  std::string summary;    // one line
  std::string help;       // further paragraphs of the help page
  std::vector<std::string> examples;
  size_t min_arguments = 0;
  size_t max_arguments = SIZE_MAX;
  std::vector<CommandOption> options;
  Result<bool> (*run)(CtlSession&, const Invocation&) = nullptr;
};

// check, apply, diff, show and schema.
std::vector<Command> ConfigurationCommands();

// account, service, site and key.
std::vector<Command> RecordCommands();

// status, drain and why.
std::vector<Command> FleetCommands();

// account use.
std::vector<Command> LimitCommands();

// Returns kBadSetting if no administration address of a host is configured.
Result<bool> RequireHosts(CtlSession& session);

// All commands, in the order of the help page.
std::span<const Command> AllCommands();

}  // namespace hickorystand
