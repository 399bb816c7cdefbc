// Test bed for the request path, for tests and benches: a gateway on loopback
// sockets, a caller, and helpers to add stand-in endpoints.
//
//   CallerAnswer    what a caller received
//   Caller          an HTTP client with blocking calls
//   Eventually()    polls a condition
//   GatewayBed      one host's gateway with its configuration
//
//   FakeEngine engine;
//   GatewayBed bed;
//   bed.AddEngine("e1", engine.Address());
//   const CallerAnswer answer = bed.caller.Send(bed.Chat("hello", true));

#pragma once

#include <glib.h>

#include <cassert>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine.h"
#include "gateway/gateway.h"
#include "http/http_client.h"
#include "plain_service.h"

namespace hickorystand {

// What a caller received.
struct CallerAnswer {
  HttpEnd end = HttpEnd::kNotSent;
  int status = 0;
  HttpHeaders headers;
  std::string body;

  std::string Header(std::string_view name) const {
    return FindHeader(this->headers, name).value_or("");
  }
};

// An HTTP client on its own task, with blocking calls.
class Caller {
 public:
  Caller() {
    this->task.Call([this] { this->client = std::make_unique<HttpClient>(); });
  }
  ~Caller() {
    this->task.Call([this] {
      this->last.reset();
      this->client.reset();
    });
  }

  // Starts an exchange; the future is set when it ends.
  std::future<CallerAnswer> Start(HttpClientRequest outgoing) {
    auto answer = std::make_shared<CallerAnswer>();
    auto done = std::make_shared<std::promise<CallerAnswer>>();
    this->task.Call([&] {
      this->last_answer = answer;
      this->last = this->client->Send(
          std::move(outgoing),
          {.on_head =
               [answer](const HttpResponseHead& head) {
                 answer->status = head.status;
                 answer->headers = head.headers;
               },
           .on_bytes =
               [answer](std::string_view bytes) { answer->body += bytes; },
           .on_end =
               [answer, done](HttpEnd end, const std::string&) {
                 answer->end = end;
                 done->set_value(*answer);
               }});
    });
    return done->get_future();
  }

  CallerAnswer Send(HttpClientRequest outgoing) {
    return this->Start(std::move(outgoing)).get();
  }

  // What has been received so far of the exchange started last.
  CallerAnswer Arrived() {
    CallerAnswer arrived;
    this->task.Call([&] { arrived = *this->last_answer; });
    return arrived;
  }

  // Closes the caller's side of the exchange started last.
  void HangUp() {
    this->task.Call([this] { this->last->Cancel(); });
  }

 private:
  Task task{"caller"};
  std::unique_ptr<HttpClient> client;
  HttpExchangePtr last;
  std::shared_ptr<const CallerAnswer> last_answer;  // read only on the task
};

// Polls until the condition holds, every millisecond plus the time of the
// condition itself. Returns false if it does not hold within `tries` calls.
inline bool Eventually(const std::function<bool()>& condition,
                       int tries = 20'000) {
  for (int i = 0; i < tries; ++i) {
    if (condition()) {
      return true;
    }
    g_usleep(1000);
  }
  return false;
}

// The gateway of one host, with its configuration. The bed answers the
// gateway's claim and limit requests and collects its usage records.
class GatewayBed {
 public:
  // Environment variable that selects the dispatcher under test.
  static constexpr const char* kDispatcherVariable = "HICKORYSTAND_DISPATCHER";
  static constexpr const char* kKey = "sk-test-alpha-0123456789";
  static constexpr const char* kOtherKey = "sk-test-beta-0123456789";

  // Endpoints are asked for their load only if `load_period` is set.
  explicit GatewayBed(GatewayOptions options = {}, Duration load_period = {}) {
    static const bool kQuiet = [] {
      StartLog({.level = LogLevel::kError});
      return true;
    }();
    assert(kQuiet);
    if (const char* dispatcher = std::getenv(kDispatcherVariable)) {
      options.dispatcher = dispatcher;
    }
    options.host = HostId("h1");
    options.data_centre = DataCentreId("dc1");
    options.driver.endpoints.http.timeouts.first_byte =
        std::chrono::milliseconds(1500);
    options.driver.endpoints.http.timeouts.between_bytes =
        std::chrono::milliseconds(1500);
    options.watcher = {.load_period = load_period, .cache_period = {}};
    this->configuration.revision = 1;
    this->AddAccount("alpha", kKey);
    this->AddAccount("beta", kOtherKey);
    this->configuration.services[ServiceId("m")] = {.id = ServiceId("m")};
    this->configuration.services[ServiceId("filing")] = {
        .id = ServiceId("filing"),
        .kind = ServiceKind::kPlain,
        .status_path = "/petitions"};
    this->task.Call([&] {
      this->gateway =
          std::make_unique<Gateway>(options, this->clock, this->metrics);
      this->gateway->SetHooks(this->MakeHooks());
      this->address = this->gateway->Start().value();
    });
    this->Apply();
  }

  ~GatewayBed() {
    this->task.Call([this] { this->gateway.reset(); });
  }

  // Adds an engine. Endpoints are used in the order of their names.
  void AddEngine(const std::string& id, const SocketAddress& at) {
    this->AddEndpoint(id, "m", at);
  }
  void AddPlain(const std::string& id, const SocketAddress& at) {
    this->AddEndpoint(id, "filing", at);
  }

  // Maximum number of attempts that the dispatcher under test makes per
  // request.
  static int64_t MaxAttempts() {
    return std::getenv(kDispatcherVariable) == nullptr ? 3 : 4;
  }

  // Sets a token limit on the first client account.
  void Limit() {
    this->configuration.accounts[AccountId("alpha")].rate = 1000;
    this->Apply();
  }

  // Tokens that currently count against limits.
  int64_t Charged() {
    return this->Ask<int64_t>(
        [this](Gateway&) { return this->charged_tokens; });
  }

  // Applies the configuration to the gateway.
  void Apply() {
    auto next = std::make_shared<Configuration>(this->configuration);
    this->configuration.revision += 1;
    this->task.Call([&] { this->gateway->ApplyConfiguration(next); });
  }

  // A request with an API key.
  HttpClientRequest Outgoing(const std::string& method,
                             const std::string& target,
                             const std::string& body = "",
                             const std::string& key = kKey) const {
    return {.address = this->address,
            .method = method,
            .target = target,
            .headers = {{"Authorization", "Bearer " + key}},
            .content_type = "application/json",
            .body = body,
            .once = true};
  }

  // A chat request for this many tokens.
  HttpClientRequest Chat(const std::string& prompt,
                         bool stream,
                         int tokens = 8) const {
    return this->Outgoing(
        "POST", "/v1/chat/completions",
        R"({"model":"m","max_tokens":)" + std::to_string(tokens) +
            R"(,"stream":)" + (stream ? "true" : "false") +
            R"(,"messages":[{"role":"user","content":")" + prompt + R"("}]})");
  }

  // The text that a stand-in engine generates for such a request.
  static std::string ChatText(const std::string& prompt, int tokens = 8) {
    return fakes::AnswerText("user\n" + prompt + "\n", tokens);
  }

  // Evaluates a function on the gateway's task and returns its result.
  template <typename T>
  T Ask(const std::function<T(Gateway&)>& question) {
    T answer{};
    this->task.Call([&] { answer = question(*this->gateway); });
    return answer;
  }

  Configuration configuration;  // changes take effect with Apply()
  SocketAddress address;
  Task task{"gateway"};
  BootClock clock;
  Metrics metrics;
  std::unique_ptr<Gateway> gateway;
  Caller caller;
  std::vector<UsageRecord> usage;  // read only on the task
  std::map<std::string, RequestId> claims;
  std::vector<std::function<void()>> held_claims;
  bool hold_claims = false;
  ClaimResult claim_answer = ClaimResult::kGranted;
  LimitDecision token_answer{.verdict = {.granted = true}};
  std::vector<std::function<void()>> held_token_answers;
  bool hold_tokens = false;
  int64_t charged_tokens = 0;  // charged and not refunded
  int64_t cancelled_limit_requests = 0;
  LimitRequest last_limit_request;

 private:
  void AddAccount(const std::string& id, const char* key) {
    this->configuration.accounts[AccountId(id)] = {.id = AccountId(id)};
    gchar* hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    this->configuration.keys[hash] = {.hash = hash, .account = AccountId(id)};
    g_free(hash);
  }

  void AddEndpoint(const std::string& id,
                   const std::string& service,
                   const SocketAddress& at) {
    this->configuration.endpoints[EndpointId(id)] = {
        .id = EndpointId(id),
        .service = ServiceId(service),
        .data_centre = DataCentreId("dc1"),
        .address = at};
    this->Apply();
  }

  RequestHooks MakeHooks() {
    return {.claim =
                [this](const ClaimRequest& claim,
                       const std::function<void(ClaimResult)>& done) {
                  const auto answer = [this, claim, done] {
                    const bool fresh =
                        this->claims.emplace(claim.key, claim.request).second;
                    done(fresh ? this->claim_answer : ClaimResult::kTaken);
                  };
                  if (this->hold_claims) {
                    this->held_claims.push_back(answer);
                  } else {
                    answer();
                  }
                },
            .release_claim =
                [this](const RequestId& request) {
                  std::erase_if(this->claims, [&](const auto& each) {
                    return each.second == request;
                  });
                },
            .usage =
                [this](const UsageRecord& record) {
                  this->usage.push_back(record);
                },
            .take_tokens =
                [this](const RequestId&, const LimitRequest& ask,
                       const std::function<void(const LimitDecision&)>& done) {
                  this->last_limit_request = ask;
                  const auto answer = [this, cost = ask.cost, done] {
                    const LimitDecision decision = this->token_answer;
                    this->charged_tokens += decision.verdict.granted ? cost : 0;
                    done(decision);
                  };
                  if (this->hold_tokens) {
                    this->held_token_answers.push_back(answer);
                  } else {
                    answer();
                  }
                },
            .cancel_tokens =
                [this](const RequestId&) { ++this->cancelled_limit_requests; },
            .return_tokens =
                [this](const AccountId&, LimitUnit, int64_t cost) {
                  this->charged_tokens -= cost;
                }};
  }
};

}  // namespace hickorystand
