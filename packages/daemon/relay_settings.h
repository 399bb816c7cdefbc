// Settings of a relay host, loaded from an INI file and validated as a whole.
// docs/CONFIGURATION.md lists every key.
//
//     const auto settings = LoadRelaySettings(path);
//     if (!settings) { /* settings.error() lists every fault */ }

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "decisions/account_limiter.h"
#include "kernel/log.h"
#include "kernel/settings.h"
#include "relay/fleet_relay.h"
#include "relay/fleet_source.h"

namespace hickorystand {

// Settings of a relay host.
struct RelayHostSettings {
  HostId host;
  ZoneId zone;
  SocketAddress callers;
  SocketAddress ready;
  SocketAddress metrics;
  SocketAddress peers;
  MachineLimits machine;     // as stated by the platform
  ResourceLimits held;       // what the host may hold for others
  int64_t capacity = 0;      // processor, thousandths of a core
  bool first_start = false;  // of the whole fleet: no earlier duty holder
  std::string adapter;       // name of the plug-ins for this platform
  std::string terms;         // of the deployment, read by a plug-in
  SocketAddress store;
  Duration store_timeout{};
  SocketAddress duties;
  LogLevel log_level = LogLevel::kInfo;
  Duration grace{};  // from the stop signal to the kill
  Duration lease_length{};
  Duration usage_window{};
  Duration usage_report_due{};  // from a window's end until its report is due
  RelaySettings relay;
  LimitOptions limits;
  FleetSourceOptions source;
};

// Reads and validates the file. The error lists every fault found.
Result<RelayHostSettings> LoadRelaySettings(const std::string& path);

// The settings that differ and take effect only after a restart, as
// "section.key", or the section if any of its keys differ.
std::vector<std::string_view> NeedRestart(const RelayHostSettings& before,
                                          const RelayHostSettings& after);

// Whether a settings file configures a relay host, rather than a stand-alone
// host.
bool IsRelaySettingsFile(const std::string& path);

}  // namespace hickorystand
