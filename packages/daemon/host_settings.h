// The settings file of a stand-alone host; relay_settings.h has that of a relay
// host.
//
// docs/CONFIGURATION.md lists every key. The file holds only what a host needs
// to reach the platform; everything else about the fleet is configuration,
// which the platform's key-value service stores.
//
//   const auto settings = LoadHostSettings("host.ini");
//   if (!settings) { ... settings.error().message ... }

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/log.h"
#include "kernel/resource_budget.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// Section [gateway]: the HTTP interface for callers.
struct GatewaySettings {
  SocketAddress listen;
  std::string certificate_file;  // empty: plain HTTP
  std::string key_file;
  int64_t max_body_bytes = 0;
  int64_t max_queued = 0;
  std::string dispatcher;  // name of the plug-in

  auto operator<=>(const GatewaySettings&) const = default;
};

// Section [admin]: the HTTP interface for operators.
struct AdminSettings {
  SocketAddress listen;
  std::string token;

  auto operator<=>(const AdminSettings&) const = default;
};

// Section [peers]: the links to the other hosts.
struct PeerSettings {
  SocketAddress listen;
  std::string secret;
  std::string previous_secret;  // also accepted during a secret rotation
  Duration digest_interval{};

  auto operator<=>(const PeerSettings&) const = default;
};

// Section [platform]: how this host reaches the platform, and the data centre's
// lease.
struct PlatformSettings {
  std::string store;  // name of the plug-in
  std::vector<SocketAddress> store_addresses;
  SocketAddress address;  // endpoint orders, usage reports, host list
  Duration timeout{};
  Duration lease_length{};
  Duration lease_margin{};
  Duration usage_window{};

  auto operator<=>(const PlatformSettings&) const = default;
};

// All settings of a stand-alone host.
struct HostSettings {
  HostId host;
  DataCentreId data_centre;
  Duration drain_notice{};  // from a failing /readyz until callers are refused
  Duration drain_limit{};   // then, the longest wait for running requests
  ResourceLimits held;      // what the host may hold for others
  GatewaySettings gateway;
  AdminSettings admin;
  PeerSettings peers;
  PlatformSettings platform;
  LogLevel log_level = LogLevel::kInfo;
  bool log_json = false;

  auto operator<=>(const HostSettings&) const = default;
};

// The schema of the file: every key with its type, range, default and help.
std::vector<SettingRule> HostSettingRules();

// Reads and checks the settings in a file, fills in defaults, and reads the
// secrets from the files that it names. Errors are of kind kBadSetting.
Result<HostSettings> LoadHostSettings(const std::string& path);

}  // namespace hickorystand
