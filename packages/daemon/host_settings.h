// The settings of one entry host, as hickorystandd reads them from its file.
//
// docs/CONFIGURATION.md lists every key. Only what a host must know before it
// can reach the platform stands here; everything else about the fleet is
// configuration, which the platform's key-value service keeps.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/error.h"
#include "kernel/ids.h"
#include "kernel/log.h"
#include "kernel/settings.h"
#include "kernel/time.h"

namespace hickorystand {

// Where callers are served.
struct GatewaySettings {
  SocketAddress listen;
  std::string certificate_file;  // empty: plain HTTP
  std::string key_file;
  int64_t max_body_bytes = 0;
  int64_t max_queued = 0;
  std::string dispatcher;  // name of the plug-in

  auto operator<=>(const GatewaySettings&) const = default;
};

// Where operators reach this host.
struct AdminSettings {
  SocketAddress listen;
  std::string token;

  auto operator<=>(const AdminSettings&) const = default;
};

// How this host talks with the other entry hosts.
struct PeerSettings {
  SocketAddress listen;
  std::string secret;
  std::string previous_secret;  // accepted as well while a secret is replaced
  Duration digest_interval{};

  auto operator<=>(const PeerSettings&) const = default;
};

// How this host reaches the platform.
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

// Everything that hickorystandd takes from its file.
struct HostSettings {
  HostId host;
  DataCentreId data_centre;
  Duration drain_notice{};  // from not ready until callers are turned away
  Duration drain_limit{};   // after that, running requests are waited for
  GatewaySettings gateway;
  AdminSettings admin;
  PeerSettings peers;
  PlatformSettings platform;
  LogLevel log_level = LogLevel::kInfo;
  bool log_json = false;

  auto operator<=>(const HostSettings&) const = default;
};

// The schema: every key with its type, range, default and meaning.
std::vector<SettingRule> HostSettingRules();

// Reads, checks and completes the settings in a file, with the secrets from
// the files that it names.
Result<HostSettings> LoadHostSettings(const std::string& path);

}  // namespace hickorystand
