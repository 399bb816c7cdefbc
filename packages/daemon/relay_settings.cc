#include "daemon/relay_settings.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iterator>
#include <utility>

#include "daemon/machine_settings.h"

namespace hickorystand {
namespace {

constexpr int64_t kMinuteInMilliseconds = 60000;

// Range of the interval between two reads of the store. Data that must be known
// within a bound is read twice within that bound, so that one read may fail.
constexpr Duration kMaxPoll = std::chrono::seconds(1);
constexpr Duration kMinPoll = std::chrono::milliseconds(200);
constexpr int64_t kReadsPerBound = 2;

// Number of unanswered reads after which other hosts are queried.
constexpr int64_t kUnansweredReadsBeforePeers = 2;

// A key is accepted if the proof that it is valid is not older than the bound
// on revoked keys minus this margin. The margin covers the transmission of the
// request to the endpoint, and clocks that run at different speeds.
constexpr Duration kRevokeMargin = std::chrono::milliseconds(800);

// Minimum of windows, bounds and the grace time of a stop, in milliseconds.
// Shorter ones can't be met, because hosts exchange messages twice a second and
// read the store once a second.
constexpr int64_t kMinDurationMs = 1000;

constexpr double kThousandths = 1000;

// Minimum lease length in milliseconds. A holder stops acting 600 ms before its
// lease expires, and renews it four times within its length.
constexpr int64_t kMinLeaseMs = 1200;

SettingRule Address(std::string section, std::string key, std::string help) {
  return {.section = std::move(section),
          .key = std::move(key),
          .type = SettingType::kAddress,
          .required = true,
          .help = std::move(help)};
}

// A duration with a default and a minimum in milliseconds.
SettingRule Length(std::string section,
                   std::string key,
                   std::string fallback,
                   int64_t minimum,
                   std::string help) {
  return {.section = std::move(section),
          .key = std::move(key),
          .type = SettingType::kDuration,
          .fallback = std::move(fallback),
          .minimum = minimum,
          .maximum = 10 * kMinuteInMilliseconds,
          .help = std::move(help)};
}

std::vector<SettingRule> Rules() {
  return {
      {.section = "relay",
       .key = "id",
       .required = true,
       .help = "name of this host, unique in the fleet"},
      {.section = "relay",
       .key = "zone",
       .required = true,
       .help = "zone of this host"},
      {.section = "relay",
       .key = "adapter",
       .required = true,
       .help = "name of the plug-ins for the platform"},
      {.section = "relay",
       .key = "first_start",
       .type = SettingType::kBoolean,
       .fallback = "false",
       .help = "whether the whole fleet starts for the first time, so that no "
               "other host has held the duties before"},
      {.section = "relay",
       .key = "terms",
       .fallback = "",
       .help = "what the operators have agreed with the platform, separated by "
               "commas, in its words"},
      {.section = "relay",
       .key = "processor_share",
       .type = SettingType::kShare,
       .fallback = "1",
       .help = "cores that this host may use: the strongest hosts of a zone "
               "are schedulers, the others forward to them"},
      Address("listen", "callers", "address for requests of callers"),
      Address("listen", "ready", "address for readiness checks"),
      Address("listen", "metrics", "address for metrics requests"),
      Address("listen", "peers", "address for links from other hosts"),
      Address("store", "address", "the platform's key-value service"),
      Length("store", "timeout", "1500ms", 10, "timeout of one call"),
      Address("duties", "address", "the platform's usage and scaling calls"),
      Length("duties", "lease", "3s", kMinLeaseMs,
             "length of the lease on the duties"),
      Length("duties", "usage_window", "5s", kMinDurationMs,
             "period that one usage report covers"),
      Length("duties", "usage_late", "10s", kMinDurationMs,
             "time from a window's end until its report is due"),
      Length("stop", "grace", "8s", kMinDurationMs,
             "time from the stop signal to the kill"),
      Length("keys", "revoke_within", "5s", kMinDurationMs,
             "how soon a revoked key must stop working"),
      {.section = "keys",
       .key = "proof_needed",
       .type = SettingType::kBoolean,
       .fallback = "true",
       .help = "whether a host that can't prove the configuration to be the "
               "newest refuses keys"},
      Length("fleet", "apply_within", "2s", kMinDurationMs,
             "how soon a new configuration must be in force"),
      Length("fleet", "drain_within", "2s", kMinDurationMs,
             "how soon a leaving endpoint must get nothing new"),
      Length("retries", "window", "10s", kMinDurationMs,
             "period over which retries are counted"),
      {.section = "retries",
       .key = "share",
       .type = SettingType::kShare,
       .fallback = "0.2",
       .help = "retries allowed per request"},
      {.section = "retries",
       .key = "slack",
       .type = SettingType::kShare,
       .fallback = "48",
       .help = "additional retries per window, of all hosts together"},
      {.section = "fleet",
       .key = "prompt_tokens_per_second",
       .type = SettingType::kInteger,
       .fallback = "37900",
       .minimum = 1,
       .maximum = int64_t{1} << 40,
       .help = "prefill rate of an engine in the prefill role, until it is "
               "measured"},
      {.section = "admission",
       .key = "ordered",
       .type = SettingType::kChoice,
       .fallback = "auto",
       .choices = {"auto", "on", "off"},
       .help = "services whose requests are admitted in order under overload "
               "and whose endpoints' speed is estimated one by one; auto: "
               "all if [relay] terms say that callers compete, else those "
               "whose endpoints state their pace"},
      Length("limits", "window", "8s", kMinDurationMs,
             "period over which a client account's limit is enforced"),
      {.section = "limits",
       .key = "overage",
       .type = SettingType::kShare,
       .fallback = "0",
       .help = "share of a limit by which a window may exceed it"},
      {.section = "limits",
       .key = "slack",
       .type = SettingType::kShare,
       .fallback = "0",
       .help =
           "tokens or requests by which a window may exceed it in addition"},
      {.section = "log",
       .key = "level",
       .type = SettingType::kChoice,
       .fallback = "info",
       .choices = {"debug", "info", "warning", "error"},
       .help = "lowest level that is logged"},
  };
}

ContentionMode ReadContention(const std::string& text) {
  return text == "on"    ? ContentionMode::kOn
         : text == "off" ? ContentionMode::kOff
                         : ContentionMode::kAuto;
}

RelaySettings ReadRelay(const Settings& from) {
  RelaySettings relay;
  relay.placement.contention =
      ReadContention(from.Text("admission", "ordered"));
  relay.placement.zone = ZoneId(from.Text("relay", "zone"));
  relay.placement.pace.prefill_tokens_per_second =
      static_cast<double>(from.Integer("fleet", "prompt_tokens_per_second"));
  relay.key_proof_limit =
      from.Flag("keys", "proof_needed")
          ? from.Length("keys", "revoke_within") - kRevokeMargin
          : Duration::max();
  relay.budget = {.window = from.Length("retries", "window"),
                  .retry_ratio = from.Share("retries", "share"),
                  .slack = from.Share("retries", "slack")};
  return relay;
}

FleetSourceOptions ReadSource(const Settings& from) {
  const Duration bound = std::min(from.Length("fleet", "apply_within"),
                                  from.Length("fleet", "drain_within"));
  const Duration poll = std::clamp(bound / kReadsPerBound, kMinPoll, kMaxPoll);
  return {.poll_period = poll,
          .ask_peers_after = poll * kUnansweredReadsBeforePeers};
}

// A setting that can't change while the host runs, because other hosts know the
// host by it, or because leases and counts that it holds depend on it.
struct FixedSetting {
  std::string_view name;
  bool (*differs)(const RelayHostSettings&, const RelayHostSettings&);
};

template <auto Member>
bool Differs(const RelayHostSettings& one, const RelayHostSettings& other) {
  return one.*Member != other.*Member;
}

// The initial prefill rate. A change has no effect on a running host, which has
// measured the rate by then.
bool InitialPaceDiffers(const RelayHostSettings& one,
                        const RelayHostSettings& other) {
  return one.relay.placement.pace != other.relay.placement.pace;
}

bool ContentionDiffers(const RelayHostSettings& one,
                       const RelayHostSettings& other) {
  return one.relay.placement.contention != other.relay.placement.contention;
}

constexpr std::array kFixedSettings = {
    FixedSetting{"relay.id", &Differs<&RelayHostSettings::host>},
    FixedSetting{"relay.zone", &Differs<&RelayHostSettings::zone>},
    FixedSetting{"machine", &Differs<&RelayHostSettings::machine>},
    FixedSetting{"budget", &Differs<&RelayHostSettings::held>},
    FixedSetting{"relay.processor_share",
                 &Differs<&RelayHostSettings::capacity>},
    FixedSetting{"relay.adapter", &Differs<&RelayHostSettings::adapter>},
    FixedSetting{"relay.terms", &Differs<&RelayHostSettings::terms>},
    FixedSetting{"listen.callers", &Differs<&RelayHostSettings::callers>},
    FixedSetting{"listen.ready", &Differs<&RelayHostSettings::ready>},
    FixedSetting{"listen.metrics", &Differs<&RelayHostSettings::metrics>},
    FixedSetting{"listen.peers", &Differs<&RelayHostSettings::peers>},
    FixedSetting{"store.address", &Differs<&RelayHostSettings::store>},
    FixedSetting{"store.timeout", &Differs<&RelayHostSettings::store_timeout>},
    FixedSetting{"duties.address", &Differs<&RelayHostSettings::duties>},
    FixedSetting{"duties.lease", &Differs<&RelayHostSettings::lease_length>},
    FixedSetting{"duties.usage_window",
                 &Differs<&RelayHostSettings::usage_window>},
    FixedSetting{"duties.usage_late",
                 &Differs<&RelayHostSettings::usage_report_due>},
    FixedSetting{"fleet.prompt_tokens_per_second", &InitialPaceDiffers},
    FixedSetting{"admission.ordered", &ContentionDiffers},
    FixedSetting{"limits", &Differs<&RelayHostSettings::limits>},
};

}  // namespace

Result<RelayHostSettings> LoadRelaySettings(const std::string& path) {
  std::vector<SettingRule> rules = Rules();
  std::ranges::move(MachineSettingRules(), std::back_inserter(rules));
  const auto from = Settings::Load(path, rules);
  if (!from) {
    return tl::unexpected(from.error());
  }
  const auto address = [&from](std::string_view section, std::string_view key) {
    return *ParseAddress(from->Text(section, key));
  };
  RelayHostSettings settings{
      .host = HostId(from->Text("relay", "id")),
      .zone = ZoneId(from->Text("relay", "zone")),
      .callers = address("listen", "callers"),
      .ready = address("listen", "ready"),
      .metrics = address("listen", "metrics"),
      .peers = address("listen", "peers"),
      .machine = ReadMachine(*from),
      .held = ReadHeldLimits(*from),
      .capacity =
          std::llround(from->Share("relay", "processor_share") * kThousandths),
      .first_start = from->Flag("relay", "first_start"),
      .adapter = from->Text("relay", "adapter"),
      .terms = from->Text("relay", "terms"),
      .store = address("store", "address"),
      .store_timeout = from->Length("store", "timeout"),
      .duties = address("duties", "address"),
      .grace = from->Length("stop", "grace"),
      .lease_length = from->Length("duties", "lease"),
      .usage_window = from->Length("duties", "usage_window"),
      .usage_report_due = from->Length("duties", "usage_late"),
      .relay = ReadRelay(*from),
      .limits = {.window = from->Length("limits", "window"),
                 .overage = from->Share("limits", "overage"),
                 .slack = from->Share("limits", "slack")},
      .source = ReadSource(*from)};
  ParseLogLevel(from->Text("log", "level"), settings.log_level);
  return settings;
}

std::vector<std::string_view> NeedRestart(const RelayHostSettings& before,
                                          const RelayHostSettings& after) {
  std::vector<std::string_view> changed;
  for (const FixedSetting& setting : kFixedSettings) {
    if (setting.differs(before, after)) {
      changed.push_back(setting.name);
    }
  }
  return changed;
}

bool IsRelaySettingsFile(const std::string& path) {
  std::ifstream in(path);
  std::string line;
  while (std::getline(in, line)) {
    if (line == "[relay]") {
      return true;
    }
  }
  return false;
}

}  // namespace hickorystand
