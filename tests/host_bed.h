// Test bed that runs whole hosts in one process on loopback sockets, with
// stand-ins for the services around them.
//
//   HostBed    a data centre with hosts, an engine and a plain service
//
//   HostBed bed(2);
//   CHECK(Eventually([&] { return bed.InForce(1); }));
//   bed.caller.Send(bed.Chat(0, 8));

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "daemon/host_daemon.h"
#include "decisions/configuration_codec.h"
#include "gateway_bed.h"
#include "key_value.h"
#include "platform.h"

namespace hickorystand {

// A data centre with an engine, a plain service and some hosts.
class HostBed {
 public:
  static constexpr const char* kKey = "sk-host-test-0123456789";
  static constexpr const char* kToken = "operators-token-0123456789";

  // A draining host goes on accepting requests for `drain_notice`, and then
  // waits up to `drain_limit` for the running ones.
  explicit HostBed(int hosts,
                   Duration drain_limit = std::chrono::seconds(30),
                   Duration drain_notice = {})
      : drain_limit(drain_limit), drain_notice(drain_notice) {
    StartLog({.level = LogLevel::kError});
    this->Store();
    for (int i = 1; i <= hosts; ++i) {
      this->StartHost("h" + std::to_string(i));
    }
  }

  // Starts one more host. `before` is called once the host's tasks run.
  void StartHost(const std::string& id,
                 const std::function<void()>& before = {}) {
    this->StartHost(this->SettingsOf(HostId(id)), before);
  }

  // Starts one more host in another data centre, without access to the
  // key-value service.
  void StartCutOffHost() {
    HostSettings settings = this->SettingsOf(HostId("far"));
    settings.data_centre = DataCentreId("dc2");
    settings.platform.store_addresses = {{"127.0.0.1", 1}};
    this->StartHost(settings);
  }

  // A request to a host's gateway.
  HttpClientRequest Call(int host,
                         const std::string& method,
                         const std::string& target,
                         const std::string& body = "") const {
    return {.address = this->hosts.at(host)->GatewayAddress(),
            .method = method,
            .target = target,
            .headers = {{"Authorization", std::string("Bearer ") + kKey}},
            .content_type = "application/json",
            .body = body,
            .once = true};
  }

  // A chat request for this many tokens; `more` is added to the body, for
  // example R"("stream":true,)".
  HttpClientRequest Chat(int host,
                         int tokens,
                         const std::string& more = "",
                         const std::string& model = "m") const {
    return this->Call(host, "POST", "/v1/chat/completions",
                      "{" + more + R"("model":")" + model +
                          R"(","max_tokens":)" + std::to_string(tokens) +
                          R"(,"messages":[{"role":"user","content":"hi"}]})");
  }

  // A request to a host's operators' page.
  HttpClientRequest Admin(int host,
                          const std::string& method,
                          const std::string& target,
                          const std::string& token = kToken) const {
    return {.address = this->hosts.at(host)->AdminAddress(),
            .method = method,
            .target = target,
            .headers = {{"Authorization", "Bearer " + token}},
            .once = true};
  }

  // Sets the client account's limit, in requests; returns the new revision.
  int64_t Limit(double rate, double burst) {
    const auto stored = ReadStoredConfiguration(
        this->store.Transact(ReadConfigurationTransaction()));
    Configuration wanted = *stored->configuration;
    Account& account = wanted.accounts.at(AccountId("alpha"));
    account.rate = rate;
    account.burst = burst;
    account.unit = LimitUnit::kRequests;
    const int64_t revision = stored->head.revision + 1;
    this->store.Transact(*MakeApplyTransaction(
        *stored, wanted,
        {.name = "test", .token = "limit" + std::to_string(revision)}));
    return revision;
  }

  // The host's share of the limits.
  double LimitShare(int host) {
    return this->Status(host).At("limits").At("share").Number();
  }

  // A figure of the client account in the host's status: "used" or "left".
  int64_t LimitOf(int host, const std::string& what) {
    const auto accounts =
        this->Status(host).At("limits").At("accounts").Items();
    return accounts.empty() ? 0 : accounts.front().At(what).Integer();
  }

  // The sum of LimitOf() over all hosts.
  int64_t LimitSum(const std::string& what) {
    int64_t sum = 0;
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      sum += this->LimitOf(static_cast<int>(i), what);
    }
    return sum;
  }

  Json Status(int host) {
    const auto answer =
        this->caller.Send(this->Admin(host, "GET", "/admin/status"));
    return Json::Parse(answer.body).value_or(Json());
  }

  // Whether all hosts serve with this revision of the configuration.
  bool InForce(int64_t revision) {
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      const int host = static_cast<int>(i);
      if (this->Status(host).At("revision").Integer() < revision ||
          this->caller.Send(this->Call(host, "GET", "/readyz")).status != 200) {
        return false;
      }
    }
    return true;
  }

  fakes::FakeKeyValue store;
  fakes::FakePlatform platform;
  fakes::FakeEngine engine;
  fakes::FakePlainService plain;
  BootClock clock;
  Caller caller;
  std::atomic<int> stopped = 0;
  std::vector<std::unique_ptr<HostDaemon>> hosts;

 private:
  void StartHost(const HostSettings& settings,
                 const std::function<void()>& before = {}) {
    this->hosts.push_back(std::make_unique<HostDaemon>(
        settings, this->clock, [this] { ++this->stopped; }));
    if (before) {
      before();
    }
    const auto started = this->hosts.back()->Start();
    assert(started && "a host of the test can't start");
    this->listed.push_back({.host = settings.host,
                            .data_centre = settings.data_centre,
                            .address = this->hosts.back()->PeerAddress()});
    this->platform.SetHosts(this->listed);
  }

  HostSettings SettingsOf(const HostId& id) const {
    HostSettings settings;
    settings.host = id;
    settings.data_centre = DataCentreId("dc1");
    settings.drain_notice = this->drain_notice;
    settings.drain_limit = this->drain_limit;
    settings.gateway = {.listen = {"127.0.0.1", 0},
                        .max_body_bytes = 1 << 20,
                        .max_queued = 100,
                        .dispatcher = "hickorystand"};
    settings.admin = {.listen = {"127.0.0.1", 0}, .token = kToken};
    settings.peers = {.listen = {"127.0.0.1", 0},
                      .secret = "fleet-secret-0123456789"};
    settings.platform = {.store = "etcd-json",
                         .store_addresses = {this->store.Address()},
                         .address = this->platform.Address(),
                         .timeout = std::chrono::seconds(2),
                         .lease_length = std::chrono::seconds(6),
                         .lease_margin = std::chrono::seconds(1),
                         .usage_window = std::chrono::seconds(1)};
    return settings;
  }

  Duration drain_limit;
  Duration drain_notice;
  std::vector<PlatformHost> listed;

  // Writes the fleet's configuration to the key-value service.
  void Store() {
    Configuration wanted;
    const AccountId account("alpha");
    g_autofree char* hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, kKey, -1);
    wanted.accounts[account] = {.id = account};
    wanted.keys[hash] = {.hash = hash, .account = account};
    wanted.services[ServiceId("m")] = {.id = ServiceId("m")};
    // No endpoint serves it, so its batch requests stay queued.
    wanted.services[ServiceId("unserved")] = {.id = ServiceId("unserved")};
    wanted.services[ServiceId("filing")] = {.id = ServiceId("filing"),
                                            .kind = ServiceKind::kPlain};
    wanted.sites[DataCentreId("dc1")] = {.id = DataCentreId("dc1")};
    AddEndpoint(wanted, "e1", "m", this->engine.Address());
    AddEndpoint(wanted, "p1", "filing", this->plain.Address());
    const auto transaction =
        MakeApplyTransaction({}, wanted, {.name = "test", .token = "t1"});
    assert(transaction && "the test's configuration is wrong");
    this->store.Transact(*transaction);
  }

  static void AddEndpoint(Configuration& wanted,
                          const std::string& id,
                          const std::string& service,
                          const SocketAddress& address) {
    wanted.endpoints[EndpointId(id)] = {
        .id = EndpointId(id),
        .service = ServiceId(service),
        .data_centre = DataCentreId("dc1"),
        .address = address,
        .zone = ZoneId("z1"),
        .role = service == "m" ? EndpointRole::kMixed : EndpointRole::kPlain};
  }
};

}  // namespace hickorystand
