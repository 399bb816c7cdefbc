#include "daemon/host_settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include "daemon/machine_settings.h"
#include "decisions/dispatcher.h"
#include "kernel/registry.h"
#include "platform/key_value_store.h"

namespace hickorystand {
namespace {

constexpr size_t kMinimumSecretBytes = 16;
constexpr int64_t kMebibyte = int64_t{1024} * 1024;
constexpr int64_t kSecondInMilliseconds = 1000;

// Returns the first line of a secret file, or an error if it is missing or too
// short.
Result<std::string> ReadSecret(const std::string& path) {
  std::ifstream in(path);
  std::string line;
  if (!in || !std::getline(in, line)) {
    return Fail(ErrorKind::kBadSetting,
                path + ": secret file can't be read or is empty");
  }
  if (line.size() < kMinimumSecretBytes) {
    return Fail(ErrorKind::kBadSetting,
                path + ": the secret is shorter than " +
                    std::to_string(kMinimumSecretBytes) + " bytes");
  }
  return line;
}

std::vector<SettingRule> HostRules() {
  return {
      {.section = "host",
       .key = "id",
       .required = true,
       .help = "name of this host, unique in the fleet"},
      {.section = "host",
       .key = "data_centre",
       .required = true,
       .help = "name of the data centre of this host"},
      {.section = "host",
       .key = "drain_notice",
       .type = SettingType::kDuration,
       .fallback = "5s",
       .maximum = 600 * kSecondInMilliseconds,
       .help = "how long a stopping host still accepts requests after "
               "/readyz fails, so that the balancer notices"},
      {.section = "host",
       .key = "drain_limit",
       .type = SettingType::kDuration,
       .fallback = "10m",
       .help = "how long a stopping host waits for running requests "
               "before it ends them with an error"},
  };
}

std::vector<SettingRule> GatewayRules() {
  return {
      {.section = "gateway",
       .key = "listen",
       .type = SettingType::kAddress,
       .required = true,
       .help = "listening address for callers"},
      {.section = "gateway",
       .key = "tls_certificate_file",
       .help = "PEM certificate chain; without it callers use plain HTTP"},
      {.section = "gateway",
       .key = "tls_key_file",
       .help = "PEM private key of the certificate"},
      {.section = "gateway",
       .key = "max_body_bytes",
       .type = SettingType::kInteger,
       .fallback = "4194304",
       .minimum = 1024,
       .maximum = 256 * kMebibyte,
       .help = "maximum size of a request body, in bytes"},
      {.section = "gateway",
       .key = "max_queued",
       .type = SettingType::kInteger,
       .fallback = "4096",
       .minimum = 1,
       .maximum = 1000000,
       .help = "maximum number of requests queued on this host"},
      {.section = "gateway",
       .key = "dispatcher",
       .type = SettingType::kChoice,
       .fallback = "hickorystand",
       .choices = Registry<Dispatcher>::Names(),
       .help = "policy for admission and routing"},
  };
}

std::vector<SettingRule> AdminAndPeerRules() {
  return {
      {.section = "admin",
       .key = "listen",
       .type = SettingType::kAddress,
       .required = true,
       .help = "listening address for operators"},
      {.section = "admin",
       .key = "token_file",
       .required = true,
       .help = "file whose first line is the operators' token"},
      {.section = "peers",
       .key = "listen",
       .type = SettingType::kAddress,
       .required = true,
       .help = "listening address for the other hosts"},
      {.section = "peers",
       .key = "secret_file",
       .required = true,
       .help = "file whose first line is the fleet's secret"},
      {.section = "peers",
       .key = "previous_secret_file",
       .help = "file with the secret that is being replaced"},
      {.section = "peers",
       .key = "digest_interval",
       .type = SettingType::kDuration,
       .fallback = "500ms",
       .minimum = 50,
       .maximum = 10 * kSecondInMilliseconds,
       .help = "time between two digests to the same host"},
  };
}

std::vector<SettingRule> PlatformRules() {
  return {
      {.section = "platform",
       .key = "store",
       .type = SettingType::kChoice,
       .fallback = "etcd-json",
       .choices = Registry<KeyValueStore>::Names(),
       .help = "protocol of the key-value service"},
      {.section = "platform",
       .key = "store_addresses",
       .type = SettingType::kAddresses,
       .required = true,
       .help = "addresses of the key-value service, tried in turn"},
      {.section = "platform",
       .key = "address",
       .type = SettingType::kAddress,
       .required = true,
       .help = "address for endpoint orders, usage reports and the host list"},
      {.section = "platform",
       .key = "timeout",
       .type = SettingType::kDuration,
       .fallback = "2s",
       .minimum = 50,
       .maximum = 60 * kSecondInMilliseconds,
       .help = "timeout of one call to the platform"},
      {.section = "platform",
       .key = "lease_length",
       .type = SettingType::kDuration,
       .fallback = "10s",
       .minimum = 2 * kSecondInMilliseconds,
       .maximum = 600 * kSecondInMilliseconds,
       .help = "length of the data centre's lease"},
      {.section = "platform",
       .key = "lease_margin",
       .type = SettingType::kDuration,
       .fallback = "2s",
       .minimum = 100,
       .maximum = 60 * kSecondInMilliseconds,
       .help = "how long before a lease expires its holder stops acting on it"},
      {.section = "platform",
       .key = "usage_window",
       .type = SettingType::kDuration,
       .fallback = "60s",
       .minimum = kSecondInMilliseconds,
       .maximum = 3600 * kSecondInMilliseconds,
       .help = "length of one usage window"},
  };
}

std::vector<SettingRule> LogRules() {
  return {
      {.section = "log",
       .key = "level",
       .type = SettingType::kChoice,
       .fallback = "info",
       .choices = {"debug", "info", "warning", "error"},
       .help = "minimum level that is logged"},
      {.section = "log",
       .key = "format",
       .type = SettingType::kChoice,
       .fallback = "text",
       .choices = {"text", "json"},
       .help = "format of a log line"},
  };
}

// Parses an address that the schema has checked. An empty setting gives an
// empty address.
SocketAddress AddressIn(const std::string& text) {
  return ParseAddress(text).value_or(SocketAddress{});
}

std::vector<SocketAddress> AddressesIn(const std::vector<std::string>& items) {
  std::vector<SocketAddress> addresses;
  std::ranges::transform(items, std::back_inserter(addresses), &AddressIn);
  return addresses;
}

GatewaySettings MakeGatewaySettings(const Settings& settings) {
  return {.listen = AddressIn(settings.Text("gateway", "listen")),
          .certificate_file = settings.Text("gateway", "tls_certificate_file"),
          .key_file = settings.Text("gateway", "tls_key_file"),
          .max_body_bytes = settings.Integer("gateway", "max_body_bytes"),
          .max_queued = settings.Integer("gateway", "max_queued"),
          .dispatcher = settings.Text("gateway", "dispatcher")};
}

PlatformSettings MakePlatformSettings(const Settings& settings) {
  return {.store = settings.Text("platform", "store"),
          .store_addresses =
              AddressesIn(settings.List("platform", "store_addresses")),
          .address = AddressIn(settings.Text("platform", "address")),
          .timeout = settings.Length("platform", "timeout"),
          .lease_length = settings.Length("platform", "lease_length"),
          .lease_margin = settings.Length("platform", "lease_margin"),
          .usage_window = settings.Length("platform", "usage_window")};
}

Result<PeerSettings> MakePeerSettings(const Settings& settings) {
  auto secret = ReadSecret(settings.Text("peers", "secret_file"));
  if (!secret) {
    return tl::unexpected(secret.error());
  }
  std::string previous;
  if (const auto& file = settings.Text("peers", "previous_secret_file");
      !file.empty()) {
    auto read = ReadSecret(file);
    if (!read) {
      return tl::unexpected(read.error());
    }
    previous = *std::move(read);
  }
  return PeerSettings{
      .listen = AddressIn(settings.Text("peers", "listen")),
      .secret = *std::move(secret),
      .previous_secret = std::move(previous),
      .digest_interval = settings.Length("peers", "digest_interval")};
}

// Checks rules that concern two settings. Returns the error text, or nothing.
std::string CheckRelatedSettings(const HostSettings& host) {
  if (host.gateway.certificate_file.empty() != host.gateway.key_file.empty()) {
    return "[gateway] tls_certificate_file and tls_key_file must be set "
           "together";
  }
  if (host.platform.lease_margin * 2 >= host.platform.lease_length) {
    return "[platform] lease_margin must be under half of lease_length";
  }
  return "";
}

}  // namespace

std::vector<SettingRule> HostSettingRules() {
  std::vector<SettingRule> rules;
  for (auto part : {HostRules(), GatewayRules(), AdminAndPeerRules(),
                    PlatformRules(), LogRules(), MachineSettingRules()}) {
    std::ranges::move(part, std::back_inserter(rules));
  }
  return rules;
}

Result<HostSettings> LoadHostSettings(const std::string& path) {
  const auto settings = Settings::Load(path, HostSettingRules());
  if (!settings) {
    return tl::unexpected(settings.error());
  }
  auto peers = MakePeerSettings(*settings);
  if (!peers) {
    return tl::unexpected(peers.error());
  }
  auto token = ReadSecret(settings->Text("admin", "token_file"));
  if (!token) {
    return tl::unexpected(token.error());
  }
  HostSettings host{
      .host = HostId(settings->Text("host", "id")),
      .data_centre = DataCentreId(settings->Text("host", "data_centre")),
      .drain_notice = settings->Length("host", "drain_notice"),
      .drain_limit = settings->Length("host", "drain_limit"),
      .held = ReadHeldLimits(*settings),
      .gateway = MakeGatewaySettings(*settings),
      .admin = {AddressIn(settings->Text("admin", "listen")),
                *std::move(token)},
      .peers = *std::move(peers),
      .platform = MakePlatformSettings(*settings),
      .log_json = settings->Text("log", "format") == "json"};
  ParseLogLevel(settings->Text("log", "level"), host.log_level);
  if (const std::string fault = CheckRelatedSettings(host); !fault.empty()) {
    return Fail(ErrorKind::kBadSetting, path + ": " + fault);
  }
  return host;
}

}  // namespace hickorystand
