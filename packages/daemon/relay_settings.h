// Settings of a host that relays requests for a fleet: one INI file, checked
// whole. docs/CONFIGURATION.md lists every key.

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

// Everything a relay host is told before it starts.
struct RelayHostSettings {
  HostId host;
  ZoneId zone;
  SocketAddress callers;
  SocketAddress ready;
  SocketAddress metrics;
  SocketAddress peers;
  int64_t capacity = 0;      // processor, thousandths of a core
  bool first_start = false;  // of the whole fleet, so nobody acted before
  std::string adapter;       // the plug-ins that speak to this platform
  SocketAddress store;
  Duration store_timeout{};
  SocketAddress duties;
  LogLevel log_level = LogLevel::kInfo;
  Duration grace{};  // from the stop signal to the kill
  Duration lease_length{};
  Duration usage_window{};
  Duration usage_late{};  // after a window's end, when its report is due
  RelaySettings relay;
  LimitOptions limits;
  FleetSourceOptions source;
};

// Reads and checks the file. The error lists every fault found.
Result<RelayHostSettings> LoadRelaySettings(const std::string& path);

// The settings that differ and that only a start takes up, by section and key.
std::vector<std::string_view> NeedRestart(const RelayHostSettings& before,
                                          const RelayHostSettings& after);

// Whether a file asks for a relay host, rather than a stand-alone one.
bool IsRelayFile(const std::string& path);

}  // namespace hickorystand
