// The gateway: HTTP towards callers. It checks keys and bodies, turns calls
// into requests, and has them dispatched.
//
//   POST /v1/chat/completions   POST /v1/completions   GET /v1/models[/NAME]
//   ANY  /services/NAME/...
//   GET  /healthz   GET /readyz   GET /metrics
//
// It lives on one task: make, use and destroy it there.
//
// Index
//   GatewayOptions   addresses, limits, the dispatcher's name
//   Gateway          the class

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/completion_body.h"
#include "gateway/endpoint_watcher.h"
#include "gateway/request_driver.h"
#include "http/http_server.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"

namespace hickorystand {

// How a gateway is set.
struct GatewayOptions {
  HttpServerOptions http;
  HostId host;
  DataCentreId data_centre;
  std::string dispatcher = "round-robin";
  uint64_t seed = 1;
  int64_t max_queued = 4096;
  RequestDriverOptions driver;  // its host is set from the above
  JsonLimits json;
  Duration tick = std::chrono::milliseconds(10);
  // How long a request that may wait may wait.
  Duration batch_deadline = std::chrono::hours(24);
  int64_t hold_bytes = int64_t{1} << 20;  // see RelayOptions
  EndpointWatcherOptions watcher;
};

// One entry host's side towards callers.
class Gateway {
 public:
  Gateway(GatewayOptions options, const Clock& clock, Metrics& metrics);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Starts to listen and to watch endpoints.
  Result<SocketAddress> Start();

  void SetHooks(RequestHooks hooks) {
    this->driver->SetHooks(std::move(hooks));
  }

  // Called with each load report of an endpoint, for the coordinator.
  void SetOnLoad(std::function<void(const LoadReport&)> call) {
    this->on_load = std::move(call);
  }

  // Puts a revision in force; an older one than that in force is ignored.
  void ApplyConfiguration(ConfigurationPtr next);

  // Whether keys may still be trusted. A data centre that was cut off for too
  // long can't know which keys were revoked, and refuses them all.
  void TrustKeys(bool trusted) { this->keys_trusted = trusted; }

  void OnDigest(const Digest& digest) { this->driver->OnDigest(digest); }
  void OnHostGone(const HostId& host) { this->driver->OnHostGone(host); }
  void FillDigest(Digest& digest) const { this->driver->FillDigest(digest); }

  // /readyz fails from now on, so that the balancer looks away; whoever still
  // calls is served, and its connection closed with the answer. Requests
  // whose answers wouldn't be whole at `ends_at`, when the process may end, are
  // refused.
  void AnnounceLeaving(Instant ends_at);

  // Not ready from now on; new requests are refused as not run, and those here
  // are finished. Calls back when their answers are written.
  void StartDrain(std::function<void()> on_drained);

  // Drains, but gives requests that are here their final answer at once: an
  // error that says whether they may have run.
  void EndRequests(std::function<void()> on_answered);
  bool Draining() const { return this->draining; }

  // What was decided about a request, oldest first.
  std::vector<Decision> RecentDecisions(const RequestId& request) const;

  // Refusals by code since the start, those by the dispatcher among them.
  std::map<std::string, int64_t> Refusals() const;

  int64_t Queued() const { return this->driver->Queued(); }
  int64_t Running() const { return this->driver->Running(); }

 private:
  // Who calls, once the key was found good.
  struct Caller {
    AccountId account;
    std::string key;
    std::string key_hash;
  };

  using Handler = void (Gateway::*)(const HttpCallPtr&, const RequestId&);
  struct Route {
    std::string_view method;  // empty: any
    std::string_view path;
    bool prefix;
    Handler handler;
  };
  static const Route kRoutes[];

  void OnLoad(const LoadReport& report);
  void Handle(const HttpCallPtr& call);
  void HandleChat(const HttpCallPtr& call, const RequestId& id);
  void HandleText(const HttpCallPtr& call, const RequestId& id);
  void HandleModels(const HttpCallPtr& call, const RequestId& id);
  void HandleModel(const HttpCallPtr& call, const RequestId& id);
  void HandleService(const HttpCallPtr& call, const RequestId& id);
  void HandleHealth(const HttpCallPtr& call, const RequestId& id);
  void HandleReady(const HttpCallPtr& call, const RequestId& id);
  void HandleMetrics(const HttpCallPtr& call, const RequestId& id);

  Result<Caller> Authenticate(const HttpRequest& request) const;
  Result<void> Complete(const HttpCallPtr& call,
                        const RequestId& id,
                        CompletionKind kind);
  Result<void> CallService(const HttpCallPtr& call, const RequestId& id);
  Result<const Service*> FindService(const std::string& name,
                                     ServiceKind kind) const;
  void Refuse(const HttpCallPtr& call, const RequestId& id, const Error& error);
  RequestId MakeRequestId();
  HttpTimeouts TimeoutsFor(const Service& service) const;

  GatewayOptions options;
  const Clock& clock;
  Metrics& metrics;
  std::unique_ptr<RequestDriver> driver;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<EndpointWatcher> watcher;
  std::unique_ptr<Timer> ticker;
  std::function<void(const LoadReport&)> on_load;
  ConfigurationPtr configuration = std::make_shared<Configuration>();
  std::mt19937_64 random;
  LogLimiter refusal_log;
  bool leaving = false;
  bool draining = false;
  bool keys_trusted = true;
};

}  // namespace hickorystand
