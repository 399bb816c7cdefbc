// hickorystandd: the server program of a host, stand-alone or relay.

#include <glib-unix.h>
#include <glib.h>
#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "daemon/host_daemon.h"
#include "daemon/host_settings.h"
#include "daemon/relay_daemon.h"
#include "daemon/relay_settings.h"
#include "kernel/log.h"
#include "kernel/registry.h"
#include "kernel/stop_signal.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "host";

cxxopts::Options CommandLine() {
  cxxopts::Options options(
      "hickorystandd",
      "Serves callers of language models and plain services from one "
      "host.\n\nIt stops gracefully on SIGTERM and SIGINT: it finishes what "
      "runs, hands over\nits lease and usage, and exits with 0. A second "
      "signal "
      "ends it at once.\n");
  options.add_options()(
      "config", "Settings of this host (INI); default $HICKORYSTAND_SETTINGS",
      cxxopts::value<std::string>(),
      "FILE")("check", "Check the settings and exit")(
      "log-level", "Minimum log level: debug, info, warning or error",
      cxxopts::value<std::string>(),
      "LEVEL")("list-plugins", "Print the plug-ins that settings may name")(
      "version", "Print the version")("h,help", "Print this help");
  return options;
}

// Allocations from this size on are returned to the kernel when they are freed.
// By default that size grows with what was freed, and the heap keeps bodies.
constexpr int kMappedAllocationBytes = 128 << 10;

void ReturnFreedMemory() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, kMappedAllocationBytes);
#endif
}

template <typename Interface>
void PrintPlugins() {
  std::cout << Interface::kPluginKind << ':';
  for (const std::string& name : Registry<Interface>::Names()) {
    std::cout << ' ' << name;
  }
  std::cout << '\n';
}

// State shared by the handlers of SIGTERM and SIGINT.
struct SignalState {
  HostDaemon* host;
  GMainLoop* loop;
  bool stopping = false;
};

gboolean OnSignal(gpointer data) {
  auto* state = static_cast<SignalState*>(data);
  if (state->stopping) {
    g_main_loop_quit(state->loop);
    return G_SOURCE_CONTINUE;
  }
  state->stopping = true;
  state->host->Drain();
  return G_SOURCE_CONTINUE;
}

int Run(const HostSettings& settings) {
  const BootClock clock;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  HostDaemon host(settings, clock, [loop] { g_main_loop_quit(loop); });
  if (const auto started = host.Start(); !started) {
    LogError(kPart, "Host can't start.", {{"why", started.error().message}});
    return AnswerFor(started.error().kind).exit_code;
  }
  LogInfo(kPart, "Host started.",
          {{"host", settings.host.Text()},
           {"data_centre", settings.data_centre.Text()},
           {"version", HICKORYSTAND_VERSION}});
  SignalState state{&host, loop};
  g_unix_signal_add(SIGTERM, &OnSignal, &state);
  g_unix_signal_add(SIGINT, &OnSignal, &state);
  g_main_loop_run(loop);
  host.Stop();
  g_main_loop_unref(loop);
  return 0;
}

// Polling interval of the settings file. It may change without a SIGHUP, and
// not every file system reports changes.
constexpr guint kSettingsPollSeconds = 2;

// State shared by the reload handlers of a relay host.
struct RelaySignals {
  RelayDaemon* host;
  std::string path;  // of the settings file
  std::string text;  // content of the file when last read
};

std::string TextOf(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

gboolean OnRelayReload(gpointer data) {
  auto* signals = static_cast<RelaySignals*>(data);
  signals->text = TextOf(signals->path);
  if (const auto read = LoadRelaySettings(signals->path)) {
    signals->host->Reload(*read);
  } else {
    LogError(kPart, "Changed settings are invalid; keeping the previous ones.",
             {{"why", read.error().message}});
  }
  return G_SOURCE_CONTINUE;
}

gboolean OnRelaySettingsPoll(gpointer data) {
  auto* signals = static_cast<RelaySignals*>(data);
  const std::string text = TextOf(signals->path);
  // An empty file is in the middle of being written.
  return text.empty() || text == signals->text ? G_SOURCE_CONTINUE
                                               : OnRelayReload(data);
}

int RunRelay(const std::string& path, bool check_only) {
  const auto settings = LoadRelaySettings(path);
  if (!settings) {
    std::cerr << settings.error().message << '\n';
    return AnswerFor(settings.error().kind).exit_code;
  }
  if (check_only) {
    std::cout << "The settings are valid.\n";
    return 0;
  }
  StartLog(
      {.level = settings->log_level, .json = true, .standard_output = true});
  std::signal(SIGPIPE, SIG_IGN);
  // Ignored until its handler is installed; polling detects a file that changes
  // before that.
  std::signal(SIGHUP, SIG_IGN);
  const BootClock clock;
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  RelayDaemon host(*settings, clock, [loop] { g_main_loop_quit(loop); });
  // Installed before the host accepts its first request. The callback runs when
  // the main loop runs.
  const StopSignal stop([&host](Instant arrived) { host.Drain(arrived); });
  if (const auto started = host.Start(); !started) {
    LogError(kPart, "Host can't start.", {{"why", started.error().message}});
    return AnswerFor(started.error().kind).exit_code;
  }
  LogInfo(kPart, "Host started.",
          {{"host", settings->host.Text()},
           {"zone", settings->zone.Text()},
           {"version", HICKORYSTAND_VERSION}});
  RelaySignals signals{.host = &host, .path = path, .text = TextOf(path)};
  g_timeout_add_seconds(kSettingsPollSeconds, &OnRelaySettingsPoll, &signals);
  g_unix_signal_add(SIGHUP, &OnRelayReload, &signals);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  return 0;
}

// Returns the settings path from --config or $HICKORYSTAND_SETTINGS, or
// nothing.
std::string SettingsPath(const cxxopts::ParseResult& arguments) {
  if (arguments.count("config") > 0) {
    return arguments["config"].as<std::string>();
  }
  const char* named = std::getenv("HICKORYSTAND_SETTINGS");
  return named == nullptr ? "" : named;
}

int Main(const cxxopts::ParseResult& arguments) {
  if (arguments.count("version") > 0) {
    std::cout << "hickorystandd " << HICKORYSTAND_VERSION << '\n';
    return 0;
  }
  if (arguments.count("list-plugins") > 0) {
    PrintPlugins<Dispatcher>();
    PrintPlugins<KeyValueStore>();
    return 0;
  }
  const std::string path = SettingsPath(arguments);
  if (path.empty()) {
    std::cerr << "hickorystandd: --config FILE is missing; see --help\n";
    return AnswerFor(ErrorKind::kBadSetting).exit_code;
  }
  if (IsRelaySettingsFile(path)) {
    return RunRelay(path, arguments.count("check") > 0);
  }
  auto settings = LoadHostSettings(path);
  if (!settings) {
    std::cerr << settings.error().message << '\n';
    return AnswerFor(settings.error().kind).exit_code;
  }
  if (arguments.count("log-level") > 0 &&
      !ParseLogLevel(arguments["log-level"].as<std::string>(),
                     settings->log_level)) {
    std::cerr << "hickorystandd: --log-level must be debug, info, warning or "
                 "error\n";
    return AnswerFor(ErrorKind::kBadSetting).exit_code;
  }
  if (arguments.count("check") > 0) {
    std::cout << "The settings are valid.\n";
    return 0;
  }
  StartLog({.level = settings->log_level, .json = settings->log_json});
  // A write to a connection that a caller or peer has closed must not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  return Run(*settings);
}

}  // namespace
}  // namespace hickorystand

int main(int argc, char** argv) {
  hickorystand::ReturnFreedMemory();
  auto options = hickorystand::CommandLine();
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return hickorystand::Main(arguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "hickorystandd: " << error.what() << "; see --help\n";
    return hickorystand::AnswerFor(hickorystand::ErrorKind::kBadSetting)
        .exit_code;
  }
}
