// Program `fakes`: runs stand-ins for the systems that hickorystand talks to.

#include <glib-unix.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "kernel/log.h"
#include "subcommand.h"

namespace hickorystand::fakes {
namespace {

constexpr int kUsageExitCode = 2;

std::vector<Subcommand>& Table() {
  static std::vector<Subcommand> table;
  return table;
}

[[noreturn]] void ExitWithUsageError(const std::string& message) {
  std::cerr << "fakes: " << message << "\n";
  std::exit(kUsageExitCode);
}

int PrintUsage() {
  std::cerr << "usage: fakes SUBCOMMAND --listen IP:PORT [options]\n";
  for (const Subcommand& each : Subcommand::All()) {
    std::cerr << "  " << each.name << "  " << each.help << "\n";
  }
  return kUsageExitCode;
}

}  // namespace

bool Subcommand::Add(Subcommand subcommand) {
  auto& table = Table();
  const auto where =
      std::ranges::upper_bound(table, subcommand.name, {}, &Subcommand::name);
  table.insert(where, std::move(subcommand));
  return true;
}

const std::vector<Subcommand>& Subcommand::All() {
  return Table();
}

Options::Options(std::span<const std::string> arguments,
                 std::vector<std::string> known) {
  for (size_t i = 0; i < arguments.size(); i += 2) {
    const std::string& name = arguments[i];
    if (!name.starts_with("--") ||
        std::ranges::count(known, name.substr(2)) == 0) {
      ExitWithUsageError("unknown option " + name);
    }
    if (i + 1 == arguments.size()) {
      ExitWithUsageError(name + " needs a value");
    }
    this->values.emplace_back(name.substr(2), arguments[i + 1]);
  }
}

std::string Options::Text(std::string_view name,
                          const std::string& fallback) const {
  const auto found = std::ranges::find(
      this->values, name, &std::pair<std::string, std::string>::first);
  return found == this->values.end() ? fallback : found->second;
}

int64_t Options::Integer(std::string_view name, int64_t fallback) const {
  const std::string text = this->Text(name);
  return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
}

SocketAddress Options::Listen() const {
  const Result<SocketAddress> address = ParseAddress(this->Text("listen"));
  if (!address) {
    ExitWithUsageError("--listen: " + address.error().message);
  }
  return *address;
}

void RunUntilStopped(const SocketAddress& listening) {
  std::cout << "listening on " << listening.host << ":" << listening.port
            << std::endl;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  const auto quit = [](gpointer data) -> gboolean {
    g_main_loop_quit(static_cast<GMainLoop*>(data));
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, quit, loop);
  g_unix_signal_add(SIGINT, quit, loop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
}

}  // namespace hickorystand::fakes

int main(int argc, char** argv) {
  using hickorystand::fakes::Subcommand;
  hickorystand::StartLog({});
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty()) {
    return hickorystand::fakes::PrintUsage();
  }
  const auto& all = Subcommand::All();
  const auto found =
      std::ranges::find(all, arguments.front(), &Subcommand::name);
  if (found == all.end()) {
    return hickorystand::fakes::PrintUsage();
  }
  return found->run(std::span(arguments).subspan(1));
}
