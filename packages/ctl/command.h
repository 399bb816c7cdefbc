// The commands of the operators' client, as rows of one table: what help,
// completion and the dispatch know of each comes from there.

#pragma once

#include <span>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "ctl/session.h"
#include "kernel/error.h"

namespace hickorystand {

// An option that one command takes beside those of all commands.
struct CommandOption {
  std::string name;
  std::string help;
  bool takes_value = false;
};

// One call of a command, as the user typed it.
struct Invocation {
  std::vector<std::string> arguments;  // without options
  const cxxopts::ParseResult* options = nullptr;

  bool Has(const std::string& option) const {
    return this->options->count(option) > 0;
  }
  std::string Value(const std::string& option) const {
    return this->Has(option) ? (*this->options)[option].as<std::string>() : "";
  }
};

// One command. Its work answers an error, or true when all is well.
struct Command {
  std::string name;       // one or two words, such as "key add"
  std::string arguments;  // for help, such as "ACCOUNT"
  std::string summary;    // one line
  std::string help;       // what a newcomer has to know
  std::vector<std::string> examples;
  size_t least_arguments = 0;
  size_t most_arguments = SIZE_MAX;
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

// kBadSetting if no entry host is set.
Result<bool> NeedHosts(CtlSession& session);

// All of them, in the order of the help.
std::span<const Command> AllCommands();

}  // namespace hickorystand
