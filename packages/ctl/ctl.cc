#include "ctl/ctl.h"

#include <glib.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

#include "ctl/command.h"
#include "kernel/ini_file.h"
#include "kernel/registry.h"

namespace hickorystand {
namespace {

constexpr size_t kNameWidth = 18;

constexpr const char* kHelpStart =
    R"(hickoryctl drives a hickorystand fleet.

Usage: hickoryctl COMMAND [ARGUMENTS] [OPTIONS]

Commands:
)";

constexpr const char* kHelpEnd = R"(
Options of all commands:
  --config FILE            INI file with [store] addresses, [admin] addresses
                           and token_file, [client] author, timeout and wait
  --store IP:PORT;...      addresses of the key-value service
  --admin IP:PORT;...      administration addresses of all hosts
  --admin-token-file FILE  file that holds the administration token
  --json                   print one JSON document
  --help                   this page, or with a command that command's own

A first session:
  hickoryctl check base.ini dc1.ini          are the files right?
  hickoryctl diff base.ini dc1.ini           what would change?
  hickoryctl apply base.ini dc1.ini          put it in force everywhere
  hickoryctl key add acme                    a key for a client account
  hickoryctl status --watch                  what is the state of the fleet?

Exit codes: 0 done; 1 fault of the program; 2 wrong input; 3 not allowed; 4 not
found; 5 conflict with another change; 6 refused; 7 timed out or outcome
unknown; 8 platform can't be reached. 'hickoryctl completion bash' prints a
completion script.
)";

const CommandOption kCommonOptions[] = {
    {"config", "INI file with the client's settings", true},
    {"store", "addresses of the key-value service", true},
    {"admin", "administration addresses of all hosts", true},
    {"admin-token-file", "file that holds the administration token", true},
    {"json", "print one JSON document"},
    {"help", "explain the command"},
    {"version", "print the version"},
};

void WriteHelp(std::ostream& out) {
  out << kHelpStart;
  for (const Command& command : AllCommands()) {
    std::string name = "  " + command.name;
    name.resize(std::max(name.size() + 1, kNameWidth), ' ');
    out << name << command.summary << "\n";
  }
  out << kHelpEnd;
}

void WriteCommandHelp(const Command& command, std::ostream& out) {
  out << "Usage: hickoryctl " << command.name
      << (command.arguments.empty() ? "" : " ") << command.arguments
      << " [OPTIONS]\n\n"
      << command.summary << "\n\n"
      << command.help << "\n";
  if (!command.options.empty()) {
    out << "\nOptions:\n";
    for (const CommandOption& option : command.options) {
      out << "  --" << option.name << (option.takes_value ? " VALUE" : "")
          << "  " << option.help << "\n";
    }
  }
  out << "\nExamples:\n";
  for (const std::string& example : command.examples) {
    out << "  " << example << "\n";
  }
}

// Writes the bash completion script, generated from the table of commands.
void WriteCompletion(std::ostream& out) {
  std::string first_words;
  std::ostringstream cases;
  for (const Command& command : AllCommands()) {
    const size_t space = command.name.find(' ');
    const std::string first = command.name.substr(0, space);
    if ((" " + first_words + " ").find(" " + first + " ") ==
        std::string::npos) {
      first_words += (first_words.empty() ? "" : " ") + first;
    }
    if (space != std::string::npos) {
      cases << "    " << first << ") words=\"$words "
            << command.name.substr(space + 1) << "\" ;;&\n";
    }
  }
  std::string options;
  for (const CommandOption& option : kCommonOptions) {
    options += (options.empty() ? "--" : " --") + option.name;
  }
  out << "_hickoryctl() {\n"
         "  local word=${COMP_WORDS[COMP_CWORD]} words=\n"
         "  case \"${COMP_WORDS[1]}\" in\n"
      << cases.str()
      << "  esac\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then words=\""
      << first_words
      << "\"; fi\n"
         "  if [ \"$COMP_CWORD\" -ne 2 ] && [ \"$COMP_CWORD\" -ne 1 ]; then "
         "words=; fi\n"
         "  case \"$word\" in -*) words=\""
      << options
      << "\" ;; esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
         "  [ -z \"$words\" ] && COMPREPLY=($(compgen -f -- \"$word\"))\n"
         "}\n"
         "complete -F _hickoryctl hickoryctl\n";
}

Result<std::vector<SocketAddress>> ReadAddresses(const std::string& text) {
  std::vector<SocketAddress> addresses;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ';');) {
    auto address = ParseAddress(TrimSpaces(item));
    if (!address) {
      return tl::unexpected(address.error());
    }
    addresses.push_back(std::move(*address));
  }
  return addresses;
}

Result<std::string> ReadToken(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return Fail(ErrorKind::kBadSetting, path + ": the file can't be read");
  }
  std::string token;
  std::getline(in, token);
  return TrimSpaces(token);
}

std::string DefaultAuthor() {
  return std::string(g_get_user_name()) + "@" + g_get_host_name();
}

// Reads the settings from the file of --config; options take precedence.
Result<CtlSettings> ReadSettings(const Invocation& invocation) {
  const std::string file = invocation.Value("config");
  const auto read = file.empty() ? Settings::Parse("", "", CtlSettingRules())
                                 : Settings::Load(file, CtlSettingRules());
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto option_or_setting = [&](const char* option, const char* section,
                                     const char* key) {
    return invocation.Has(option) ? invocation.Value(option)
                                  : read->Text(section, key);
  };
  CtlSettings settings{.store_plugin = read->Text("store", "plugin"),
                       .author = read->Text("client", "author"),
                       .timeout = read->Length("client", "timeout"),
                       .wait = read->Length("client", "wait")};
  auto store = ReadAddresses(option_or_setting("store", "store", "addresses"));
  auto admin = ReadAddresses(option_or_setting("admin", "admin", "addresses"));
  if (!store || !admin) {
    return tl::unexpected(store ? admin.error() : store.error());
  }
  settings.store = std::move(*store);
  settings.admin = std::move(*admin);
  if (const std::string path =
          option_or_setting("admin-token-file", "admin", "token_file");
      !path.empty()) {
    auto token = ReadToken(path);
    if (!token) {
      return tl::unexpected(token.error());
    }
    settings.admin_token = std::move(*token);
  }
  if (settings.author.empty()) {
    settings.author = DefaultAuthor();
  }
  if (Registry<KeyValueStore>::Find(settings.store_plugin) == nullptr) {
    return Fail(ErrorKind::kBadSetting,
                "there is no key-value store '" + settings.store_plugin + "'");
  }
  return settings;
}

// Finds the command named by the first two words or the first word, and removes
// its name from `words`. Null if there is no such command.
const Command* ExtractCommand(std::vector<std::string>& words) {
  for (const size_t length : {size_t{2}, size_t{1}}) {
    if (words.size() < length) {
      continue;
    }
    const std::string name = length == 2 ? words[0] + " " + words[1] : words[0];
    const auto found = std::ranges::find(AllCommands(), name, &Command::name);
    if (found != AllCommands().end()) {
      words.erase(words.begin(),
                  words.begin() + static_cast<std::ptrdiff_t>(length));
      return &*found;
    }
  }
  return nullptr;
}

int Report(const Error& error,
           bool json,
           std::ostream& out,
           std::ostream& stream) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  if (json) {
    out << JsonWriter()
               .BeginObject()
               .Name("error")
               .BeginObject()
               .Member("code", std::string(answer.code))
               .Member("message", error.message)
               .EndObject()
               .EndObject()
               .Text(true)
        << "\n";
  }
  stream << "hickoryctl: " << error.message << "\n";
  return answer.exit_code;
}

// Makes a parser of the options of all commands. RunCommand() checks whether
// the command accepts the options given.
cxxopts::Options MakeParser() {
  cxxopts::Options parser("hickoryctl");
  std::vector<std::string> known;
  const auto add = [&](const CommandOption& option) {
    if (std::ranges::find(known, option.name) != known.end()) {
      return;
    }
    known.push_back(option.name);
    if (option.takes_value) {
      parser.add_options()(option.name, option.help,
                           cxxopts::value<std::string>());
    } else {
      parser.add_options()(option.name, option.help);
    }
  };
  std::ranges::for_each(kCommonOptions, add);
  for (const Command& command : AllCommands()) {
    std::ranges::for_each(command.options, add);
  }
  parser.add_options()("words", "", cxxopts::value<std::vector<std::string>>());
  parser.parse_positional({"words"});
  return parser;
}

// The first option given that this command doesn't accept.
std::optional<std::string> FindUnsupportedOption(
    const Command& command,
    const cxxopts::ParseResult& parsed) {
  for (const auto& given : parsed.arguments()) {
    const auto contains = [&](const auto& options) {
      return std::ranges::find(options, given.key(), &CommandOption::name) !=
             std::ranges::end(options);
    };
    if (given.key() != "words" && !contains(kCommonOptions) &&
        !contains(command.options)) {
      return given.key();
    }
  }
  return std::nullopt;
}

int RunCommand(const Command& command,
               const Invocation& invocation,
               std::ostream& out,
               std::ostream& error) {
  const bool json = invocation.Has("json");
  const size_t count = invocation.arguments.size();
  const auto unsupported = FindUnsupportedOption(command, *invocation.options);
  if (unsupported || count < command.min_arguments ||
      count > command.max_arguments) {
    return Report({ErrorKind::kBadRequest,
                   (unsupported ? "'" + command.name + "' takes no option --" +
                                      *unsupported
                                : "the arguments are " + command.arguments) +
                       "; see 'hickoryctl " + command.name + " --help'",
                   {}},
                  json, out, error);
  }
  auto settings = ReadSettings(invocation);
  if (!settings) {
    return Report(settings.error(), json, out, error);
  }
  Output output(out, error, json);
  CtlSession session(std::move(*settings), output);
  const auto result = command.run(session, invocation);
  return result ? 0 : Report(result.error(), json, out, error);
}

int Dispatch(const cxxopts::ParseResult& parsed,
             std::ostream& out,
             std::ostream& error) {
  Invocation invocation{.options = &parsed};
  if (parsed.count("words") > 0) {
    invocation.arguments = parsed["words"].as<std::vector<std::string>>();
  }
  if (invocation.Has("version")) {
    out << "hickoryctl " HICKORYSTAND_VERSION "\n";
    return 0;
  }
  auto& words = invocation.arguments;
  if (words.size() == 2 && words[0] == "completion" && words[1] == "bash") {
    WriteCompletion(out);
    return 0;
  }
  const std::string first = words.empty() ? "" : words.front();
  const Command* command = ExtractCommand(words);
  if (command == nullptr) {
    if (first.empty() || invocation.Has("help")) {
      WriteHelp(out);
      return first.empty() && !invocation.Has("help") ? 2 : 0;
    }
    return Report(
        {ErrorKind::kBadRequest,
         "there is no command '" + first + "'; 'hickoryctl --help' lists them",
         {}},
        invocation.Has("json"), out, error);
  }
  if (invocation.Has("help")) {
    WriteCommandHelp(*command, out);
    return 0;
  }
  return RunCommand(*command, invocation, out, error);
}

}  // namespace

std::span<const Command> AllCommands() {
  static const std::vector<Command> kCommands = [] {
    std::vector<Command> all;
    for (auto&& group : {ConfigurationCommands(), FleetCommands(),
                         RecordCommands(), LimitCommands()}) {
      std::ranges::copy(group, std::back_inserter(all));
    }
    return all;
  }();
  return kCommands;
}

int RunCtl(const std::vector<std::string>& arguments,
           std::ostream& out,
           std::ostream& error) {
  std::vector<const char*> argv = {"hickoryctl"};
  std::ranges::transform(arguments, std::back_inserter(argv),
                         &std::string::c_str);
  try {
    auto parser = MakeParser();
    const auto parsed =
        parser.parse(static_cast<int>(argv.size()), argv.data());
    return Dispatch(parsed, out, error);
  } catch (const cxxopts::exceptions::exception& fault) {
    return Report({ErrorKind::kBadRequest, fault.what(), {}}, false, out,
                  error);
  }
}

}  // namespace hickorystand
