// The gateway: the HTTP interface for callers. It checks API keys and request
// bodies, converts calls into requests, and hands them to a RequestDriver.
//
//   POST /v1/chat/completions   POST /v1/completions   GET /v1/models[/NAME]
//   ANY  /services/NAME/...
//   GET  /healthz   GET /readyz   GET /metrics
//
// Not thread-safe: create, use and destroy it on one task.
//
// Index
//   GatewayOptions   addresses, limits, the dispatcher's name
//   Gateway          the class
//
// Example:
//   Gateway gateway(options, clock, metrics);
//   gateway.ApplyConfiguration(configuration);
//   const Result<SocketAddress> address = gateway.Start();

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

struct GatewayOptions {
  HttpServerOptions http;
  ResourceLimits held;  // what the host may hold for others
  HostId host;
  DataCentreId data_centre;
  std::string dispatcher = "round-robin";  // name of the plug-in
  uint64_t seed = 1;
  int64_t max_queued = 4096;
  RequestDriverOptions driver;  // `driver.host` is overwritten by `host`
  JsonLimits json = kBodyLimits;
  Duration tick = std::chrono::milliseconds(10);
  // Deadline of batch requests, from their arrival.
  Duration batch_deadline = std::chrono::hours(24);
  int64_t max_buffered_bytes = int64_t{1} << 20;  // see RelayOptions
  EndpointWatcherOptions watcher;
};

// Serves callers on one host. A call that can't be served is answered with an
// error in the OpenAI format, see caller_error.h.
class Gateway {
 public:
  Gateway(GatewayOptions options, const Clock& clock, Metrics& metrics);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Starts listening and polling endpoints. Returns the address bound, or the
  // error of the HTTP server.
  Result<SocketAddress> Start();

  void SetHooks(RequestHooks hooks) {
    this->driver->SetHooks(std::move(hooks));
  }

  // Sets a function that receives each load report of an endpoint; the
  // coordinator uses it.
  void SetOnLoad(std::function<void(const LoadReport&)> call) {
    this->on_load = std::move(call);
  }

  // Applies a configuration. One with an older revision than the current is
  // ignored.
  void ApplyConfiguration(ConfigurationPtr next);

  // Sets whether API keys are accepted. A data centre that was partitioned for
  // too long can't tell which keys have been revoked and rejects them all.
  void SetKeysTrusted(bool trusted) { this->keys_trusted = trusted; }

  void OnDigest(const Digest& digest) { this->driver->OnDigest(digest); }
  void OnHostLost(const HostId& host) { this->driver->OnHostLost(host); }
  void FillDigest(Digest& digest) const { this->driver->FillDigest(digest); }

  // Makes /readyz fail, so that the load balancer stops sending new calls.
  // Calls that still arrive are served, and their connections are closed after
  // the answer. Requests that are not expected to be answered in full by
  // `ends_at`, when the process may end, are refused.
  void AnnounceLeaving(Instant ends_at);

  // Makes /readyz fail, refuses new requests as not run, and completes the
  // current ones. `on_drained` is called when their answers are written.
  void StartDrain(std::function<void()> on_drained);

  // Like StartDrain(), but answers current requests at once, with an error that
  // states whether they may have run.
  void EndRequests(std::function<void()> on_answered);
  bool Draining() const { return this->draining; }

  // The decisions about a request that are still in memory, oldest first.
  std::vector<Decision> RecentDecisions(const RequestId& request) const;

  // Refusals since the start by error code, including those of the dispatcher.
  std::map<std::string, int64_t> Refusals() const;

  int64_t Queued() const { return this->driver->Queued(); }
  int64_t Running() const { return this->driver->Running(); }

 private:
  // An authenticated caller.
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
  ResourceBudget resources;
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
