#include "gateway/gateway.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <iterator>
#include <optional>
#include <ranges>
#include <utility>

#include "gateway/caller_error.h"
#include "kernel/json.h"
#include "kernel/registry.h"

namespace hickorystand {
namespace {

constexpr std::string_view kPart = "gateway";
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kModelsPath = "/v1/models/";
constexpr size_t kMaxKeyBytes = 512;
constexpr size_t kMaxIdempotencyKeyBytes = 256;

// Rate limit for log lines about refused calls, since callers can cause any
// number of them.
constexpr int kRefusalLogBurst = 20;
constexpr Duration kRefusalLogInterval = std::chrono::milliseconds(100);

// Hashes several texts. Each is hashed with the previous hash as its seed, so
// that moving bytes from one text to the next changes the result.
uint64_t HashOf(std::initializer_list<std::string_view> texts) {
  uint64_t hash = 0;
  for (const std::string_view text : texts) {
    hash = XXH3_64bits_withSeed(text.data(), text.size(), hash);
  }
  return hash;
}

std::string Sha256(std::string_view text) {
  const std::unique_ptr<gchar, decltype(&g_free)> hex(
      g_compute_checksum_for_data(G_CHECKSUM_SHA256,
                                  reinterpret_cast<const guchar*>(text.data()),
                                  text.size()),
      &g_free);
  return hex.get();
}

// Returns KEY of "Authorization: Bearer KEY".
std::optional<std::string> BearerKey(const HttpHeaders& headers) {
  constexpr std::string_view kScheme = "bearer ";
  const std::string value =
      FindHeader(headers, "Authorization").value_or(std::string());
  if (value.size() <= kScheme.size() ||
      g_ascii_strncasecmp(value.c_str(), kScheme.data(), kScheme.size()) != 0) {
    return std::nullopt;
  }
  const std::string key = value.substr(kScheme.size());
  return key.size() > kMaxKeyBytes ? std::nullopt : std::optional(key);
}

// Removes every header whose value contains the caller's key, so that no
// endpoint receives the key under another header name.
HttpHeaders WithoutKey(HttpHeaders headers, const std::string& key) {
  std::erase_if(headers, [&](const HttpHeader& header) {
    return header.value.find(key) != std::string::npos;
  });
  return headers;
}

bool ContainsApiKey(const HttpRequest& request, const std::string& key) {
  return request.raw_path.find(key) != std::string::npos ||
         request.query.find(key) != std::string::npos ||
         request.body.find(key) != std::string::npos;
}

// Writes a model object in the OpenAI format.
void WriteModel(JsonWriter& out, const ServiceId& id) {
  out.BeginObject().Member("id", id.Text());
  out.Member("object", "model").Member("created", 0);
  out.Member("owned_by", "hickorystand").EndObject();
}

}  // namespace

const Gateway::Route Gateway::kRoutes[] = {
    {"POST", "/v1/chat/completions", false, &Gateway::HandleChat},
    {"POST", "/v1/completions", false, &Gateway::HandleText},
    {"GET", "/v1/models", false, &Gateway::HandleModels},
    {"GET", kModelsPath, true, &Gateway::HandleModel},
    {"", kServicesPath, true, &Gateway::HandleService},
    {"GET", "/healthz", false, &Gateway::HandleHealth},
    {"GET", "/readyz", false, &Gateway::HandleReady},
    {"GET", "/metrics", false, &Gateway::HandleMetrics},
};

Gateway::Gateway(GatewayOptions options, const Clock& clock, Metrics& metrics)
    : options(std::move(options)),
      resources(this->options.held, clock, metrics),
      clock(clock),
      metrics(metrics),
      random(std::random_device{}()),
      refusal_log(kRefusalLogBurst, kRefusalLogInterval) {
  const auto* factory = Registry<Dispatcher>::Find(this->options.dispatcher);
  assert(factory != nullptr && "no dispatcher plug-in has this name");
  this->options.driver.host = this->options.host;
  this->driver = std::make_unique<RequestDriver>(
      this->options.driver,
      (*factory)({.host = this->options.host,
                  .data_centre = this->options.data_centre,
                  .seed = this->options.seed,
                  .max_queued = this->options.max_queued}),
      clock, metrics);
  this->server = std::make_unique<HttpServer>(
      this->options.http,
      [this](const HttpCallPtr& call) { this->Handle(call); },
      [this](const HttpCallPtr& call, const Error& error) {
        this->Refuse(call, this->MakeRequestId(), error);
      },
      &this->resources);
}

Gateway::~Gateway() {
  this->ticker.reset();
  this->watcher.reset();
  this->driver.reset();  // before the server, whose calls it still uses
}

Result<SocketAddress> Gateway::Start() {
  Result<SocketAddress> address = this->server->Start();
  if (!address) {
    return address;
  }
  this->ticker =
      Timer::Every(this->options.tick, [this] { this->driver->Tick(); });
  this->watcher = std::make_unique<EndpointWatcher>(
      this->options.watcher, this->options.data_centre,
      this->driver->Endpoints(),
      EndpointWatcherEvents{
          .on_load = [this](const LoadReport& report) { this->OnLoad(report); },
          .on_cache =
              [this](const CacheEvent& event) { this->driver->OnCache(event); },
      });
  this->watcher->ApplyConfiguration(this->configuration);
  return address;
}

void Gateway::OnLoad(const LoadReport& report) {
  this->driver->OnLoad(report);
  if (this->on_load) {
    this->on_load(report);
  }
}

void Gateway::ApplyConfiguration(ConfigurationPtr next) {
  if (next->revision < this->configuration->revision) {
    LogWarning(kPart, "Older configuration ignored.",
               {{"revision", std::to_string(next->revision)}});
    return;
  }
  this->configuration = std::move(next);
  this->driver->ApplyConfiguration(this->configuration);
  if (this->watcher) {
    this->watcher->ApplyConfiguration(this->configuration);
  }
}

void Gateway::AnnounceLeaving(Instant ends_at) {
  this->leaving = true;
  this->server->CloseAfterAnswers();
  this->driver->SetProcessEnd(ends_at);
}

// The driver does not cover requests whose bodies are still being read, nor
// answers that slow callers are still receiving, so the server is waited for
// as well.
void Gateway::StartDrain(std::function<void()> on_drained) {
  this->server->CloseAfterAnswers();
  this->draining = true;
  this->driver->StartDrain([this, on_drained = std::move(on_drained)] {
    this->server->WhenAnswered(on_drained);
  });
}

void Gateway::EndRequests(std::function<void()> on_answered) {
  this->StartDrain(std::move(on_answered));
  this->driver->EndAll();
}

std::vector<Decision> Gateway::RecentDecisions(const RequestId& request) const {
  return this->driver->Decisions().ForRequest(request);
}

std::map<std::string, int64_t> Gateway::Refusals() const {
  std::map<std::string, int64_t> counts;
  for (const ErrorAnswer& answer : AllErrorAnswers()) {
    const auto count = static_cast<int64_t>(this->metrics.Value(
        "hickorystand_refusals_total", {{"code", std::string(answer.code)}}));
    if (count > 0) {
      counts[std::string(answer.code)] = count;
    }
  }
  return counts;
}

// -- Calls -------------------------------------------------------------------

void Gateway::Handle(const HttpCallPtr& call) {
  const RequestId id = this->MakeRequestId();
  const HttpRequest& request = call->Request();
  const auto* route =
      std::ranges::find_if(kRoutes, [&](const Route& candidate) {
        return (candidate.method.empty() ||
                candidate.method == request.method) &&
               (candidate.prefix ? request.path.starts_with(candidate.path)
                                 : request.path == candidate.path);
      });
  if (route == std::end(kRoutes)) {
    this->Refuse(call, id,
                 {ErrorKind::kNotFound, "There is nothing at this path."});
    return;
  }
  (this->*route->handler)(call, id);
}

void Gateway::HandleChat(const HttpCallPtr& call, const RequestId& id) {
  const Result<void> accepted = this->Complete(call, id, CompletionKind::kChat);
  if (!accepted) {
    this->Refuse(call, id, accepted.error());
  }
}

void Gateway::HandleText(const HttpCallPtr& call, const RequestId& id) {
  const Result<void> accepted = this->Complete(call, id, CompletionKind::kText);
  if (!accepted) {
    this->Refuse(call, id, accepted.error());
  }
}

void Gateway::HandleService(const HttpCallPtr& call, const RequestId& id) {
  const Result<void> accepted = this->CallService(call, id);
  if (!accepted) {
    this->Refuse(call, id, accepted.error());
  }
}

void Gateway::HandleModels(const HttpCallPtr& call, const RequestId& id) {
  const Result<Caller> caller = this->Authenticate(call->Request());
  if (!caller) {
    this->Refuse(call, id, caller.error());
    return;
  }
  JsonWriter out;
  out.BeginObject().Member("object", "list").Name("data").BeginArray();
  for (const auto& [service_id, service] : this->configuration->services) {
    if (service.kind == ServiceKind::kLanguage) {
      WriteModel(out, service_id);
    }
  }
  call->Answer(
      kStatusOk,
      {{"Content-Type", "application/json"}, {"X-Request-Id", id.Text()}},
      out.EndArray().EndObject().Text());
}

void Gateway::HandleModel(const HttpCallPtr& call, const RequestId& id) {
  if (const auto caller = this->Authenticate(call->Request()); !caller) {
    this->Refuse(call, id, caller.error());
    return;
  }
  const std::string name = call->Request().path.substr(kModelsPath.size());
  if (const auto found = this->FindService(name, ServiceKind::kLanguage);
      !found) {
    this->Refuse(call, id, found.error());
    return;
  }
  JsonWriter out;
  WriteModel(out, ServiceId(name));
  call->Answer(
      kStatusOk,
      {{"Content-Type", "application/json"}, {"X-Request-Id", id.Text()}},
      out.Text());
}

void Gateway::HandleHealth(const HttpCallPtr& call, const RequestId& id) {
  call->Answer(kStatusOk,
               {{"Content-Type", "text/plain"}, {"X-Request-Id", id.Text()}},
               "ok\n");
}

void Gateway::HandleReady(const HttpCallPtr& call, const RequestId& id) {
  const bool stopping = this->leaving || this->draining;
  const bool ready = !stopping && this->configuration->revision > 0;
  call->Answer(ready ? kStatusOk : kStatusUnavailable,
               {{"Content-Type", "text/plain"}, {"X-Request-Id", id.Text()}},
               ready      ? "ready\n"
               : stopping ? "draining\n"
                          : "no configuration yet\n");
}

void Gateway::HandleMetrics(const HttpCallPtr& call, const RequestId& id) {
  this->metrics.Set("hickorystand_queued",
                    static_cast<double>(this->driver->Queued()));
  this->metrics.Set("hickorystand_running",
                    static_cast<double>(this->driver->Running()));
  this->resources.Report();
  call->Answer(kStatusOk,
               {{"Content-Type", "text/plain; version=0.0.4"},
                {"X-Request-Id", id.Text()}},
               this->metrics.PrometheusText());
}

// The hash is computed even if there is no key, and only hashes are compared,
// so that the response time reveals nothing about valid keys.
Result<Gateway::Caller> Gateway::Authenticate(
    const HttpRequest& request) const {
  const std::optional<std::string> key = BearerKey(request.headers);
  const std::string hash = Sha256(key.value_or(std::string()));
  const auto found = this->configuration->keys.find(hash);
  const bool known =
      key && found != this->configuration->keys.end() &&
      this->configuration->accounts.contains(found->second.account);
  if (!known || !this->keys_trusted) {
    return Fail(ErrorKind::kBadKey,
                key ? "The API key is not valid."
                    : "Send an API key as 'Authorization: Bearer KEY'.");
  }
  return Caller{
      .account = found->second.account, .key = *key, .key_hash = hash};
}

Result<const Service*> Gateway::FindService(const std::string& name,
                                            ServiceKind kind) const {
  const auto found = this->configuration->services.find(ServiceId(name));
  if (found == this->configuration->services.end() ||
      found->second.kind != kind) {
    return Fail(ErrorKind::kUnknownModel, "There is no such model or service.");
  }
  return &found->second;
}

HttpTimeouts Gateway::TimeoutsFor(const Service& service) const {
  HttpTimeouts timeouts = this->options.driver.endpoints.http.timeouts;
  timeouts.first_byte = std::min(timeouts.first_byte, service.deadline);
  return timeouts;
}

Result<void> Gateway::Complete(const HttpCallPtr& call,
                               const RequestId& id,
                               CompletionKind kind) {
  const HttpRequest& http = call->Request();
  const Result<Caller> caller = this->Authenticate(http);
  if (!caller) {
    return tl::unexpected(caller.error());
  }
  if (ContainsApiKey(http, caller->key)) {
    return Fail(ErrorKind::kBadRequest, "The API key stands in the request.");
  }
  Result<CompletionBody> body =
      ParseCompletionBody(http.body, kind, this->options.json);
  if (!body) {
    return tl::unexpected(body.error());
  }
  const Result<const Service*> service =
      this->FindService(body->model, ServiceKind::kLanguage);
  if (!service) {
    return tl::unexpected(service.error());
  }
  if (body->prompt_tokens + body->output_tokens > (*service)->context_tokens) {
    return Fail(ErrorKind::kBadRequest,
                "The prompt and its answer don't fit into the context.");
  }
  const Instant now = this->clock.Now();
  IncomingRequest incoming;
  incoming.request = {
      .id = id,
      .account = caller->account,
      .service = (*service)->id,
      .request_class =
          body->batch ? RequestClass::kBatch : RequestClass::kInteractive,
      .prompt_tokens = body->prompt_tokens,
      .output_tokens = body->output_tokens,
      .prefix_hashes = std::move(body->prefix_hashes),
      .fingerprint = HashOf({caller->account.Text(), body->model, http.body}),
      .arrived = now,
      .deadline = now + (body->batch ? this->options.batch_deadline
                                     : (*service)->deadline)};
  const RelayOptions relay{.kind = kind, .include_usage = body->include_usage};
  incoming.key_hash = caller->key_hash;
  incoming.call = call;
  incoming.relay = body->stream ? MakeStreamRelay(call, id, relay)
                   : body->use_engine_stream
                       ? MakeAssemblyRelay(call, id, relay)
                       : MakeWholeRelay(call, id);
  incoming.target = http.path;
  incoming.content_type = "application/json";
  incoming.body = std::move(body->engine_body);
  incoming.timeouts = this->TimeoutsFor(**service);
  this->driver->Submit(std::move(incoming));
  return {};
}

Result<void> Gateway::CallService(const HttpCallPtr& call,
                                  const RequestId& id) {
  const HttpRequest& http = call->Request();
  const Result<Caller> caller = this->Authenticate(http);
  if (!caller) {
    return tl::unexpected(caller.error());
  }
  if (ContainsApiKey(http, caller->key)) {
    return Fail(ErrorKind::kBadRequest, "The API key stands in the request.");
  }
  const std::string rest = http.raw_path.substr(
      std::min(kServicesPath.size(), http.raw_path.size()));
  const size_t slash = std::min(rest.find('/'), rest.size());
  const Result<const Service*> service =
      this->FindService(rest.substr(0, slash), ServiceKind::kPlain);
  if (!service) {
    return tl::unexpected(service.error());
  }
  const auto idempotency_key = FindHeader(http.headers, "Idempotency-Key");
  if (idempotency_key && idempotency_key->size() > kMaxIdempotencyKeyBytes) {
    return Fail(ErrorKind::kTooLarge, "The Idempotency-Key is too long.");
  }
  const bool idempotent =
      std::ranges::count((*service)->idempotent_methods, http.method) > 0;
  const Instant now = this->clock.Now();
  IncomingRequest incoming;
  incoming.request = {
      .id = id,
      .account = caller->account,
      .service = (*service)->id,
      .request_class =
          idempotent ? RequestClass::kLookup : RequestClass::kAtMostOnce,
      .fingerprint = HashOf({caller->account.Text(), (*service)->id.Text(),
                             http.method, rest, http.query, http.body}),
      .arrived = now,
      .deadline = now + (*service)->deadline};
  incoming.key_hash = caller->key_hash;
  incoming.call = call;
  incoming.relay = MakeBytesRelay(
      call, id, {.max_buffered_bytes = this->options.max_buffered_bytes});
  incoming.method = http.method;
  incoming.target = slash < rest.size() ? rest.substr(slash) : "/";
  incoming.target += http.query.empty() ? "" : "?" + http.query;
  incoming.headers = WithoutKey(ForwardableHeaders(http.headers), caller->key);
  incoming.content_type =
      FindHeader(http.headers, "Content-Type").value_or(std::string());
  std::erase_if(incoming.headers, [](const HttpHeader& header) {
    return g_ascii_strcasecmp(header.name.c_str(), "Content-Type") == 0;
  });
  incoming.body = http.body;
  incoming.timeouts = this->TimeoutsFor(**service);
  incoming.claim_key = ClaimKey((*service)->id, caller->account,
                                idempotency_key.value_or(std::string()),
                                http.method + " " + incoming.target, http.body);
  this->driver->Submit(std::move(incoming));
  return {};
}

// -- Refusals ----------------------------------------------------------------

void Gateway::Refuse(const HttpCallPtr& call,
                     const RequestId& id,
                     const Error& error) {
  const std::string code(AnswerFor(error.kind).code);
  this->metrics.Add("hickorystand_refusals_total", 1, {{"code", code}});
  const int64_t suppressed = this->refusal_log.Suppressed();
  if (this->refusal_log.Allow(this->clock.Now())) {
    LogInfo(kPart, "Call refused.",
            {{"request", id.Text()},
             {"error", code},
             {"why", error.message},
             {"suppressed", std::to_string(suppressed)}});
  }
  AnswerError(call, id, error);
}

// Uses 128 random bits, so that ids are unique across hosts and incarnations.
RequestId Gateway::MakeRequestId() {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "req-%016llx%016llx",
                static_cast<unsigned long long>(this->random()),
                static_cast<unsigned long long>(this->random()));
  return RequestId(text.data());
}

}  // namespace hickorystand
