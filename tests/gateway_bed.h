// A gateway, stand-in endpoints and a caller on loopback sockets, for tests and
// benches.

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

// What a caller got.
struct CallerAnswer {
  HttpEnd end = HttpEnd::kNotSent;
  int status = 0;
  HttpHeaders headers;
  std::string body;

  std::string Header(std::string_view name) const {
    return FindHeader(this->headers, name).value_or("");
  }
};

// One exchange with a server, waited for.
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

  // Starts an exchange; the future gives its end.
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

  // What has arrived of the exchange started last.
  CallerAnswer Arrived() {
    CallerAnswer arrived;
    this->task.Call([&] { arrived = *this->last_answer; });
    return arrived;
  }

  // Hangs up the exchange started last.
  void HangUp() {
    this->task.Call([this] { this->last->Cancel(); });
  }

 private:
  Task task{"caller"};
  std::unique_ptr<HttpClient> client;
  HttpExchangePtr last;
  std::shared_ptr<const CallerAnswer> last_answer;  // read on the task only
};

// Waits until a condition holds; false if it never does within the tries, which
// are a millisecond and the condition's own time apart.
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

// One entry host's gateway with its surroundings.
class GatewayBed {
 public:
  // Environment variable that names the dispatcher under test.
  static constexpr const char* kDispatcherVariable = "HICKORYSTAND_DISPATCHER";
  static constexpr const char* kKey = "sk-test-alpha-0123456789";
  static constexpr const char* kOtherKey = "sk-test-beta-0123456789";

  explicit GatewayBed(GatewayOptions options = {}) {
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
    options.watcher = {.load_period = {}, .cache_period = {}};
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

  // Adds an endpoint; they are used in the order of their names.
  void AddEngine(const std::string& id, const SocketAddress& at) {
    this->AddEndpoint(id, "m", at);
  }
  void AddPlain(const std::string& id, const SocketAddress& at) {
    this->AddEndpoint(id, "filing", at);
  }

  // How often the dispatcher under test tries a request.
  static int64_t MostTries() {
    return std::getenv(kDispatcherVariable) == nullptr ? 3 : 4;
  }

  // Sets a limit of the first account in tokens.
  void Limit() {
    this->configuration.accounts[AccountId("alpha")].rate = 1000;
    this->Apply();
  }

  // Tokens that count against limits at present.
  int64_t Charged() {
    return this->Ask<int64_t>(
        [this](Gateway&) { return this->charged_tokens; });
  }

  // Puts the configuration in force.
  void Apply() {
    auto next = std::make_shared<Configuration>(this->configuration);
    this->configuration.revision += 1;
    this->task.Call([&] { this->gateway->ApplyConfiguration(next); });
  }

  // A call with a key.
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

  // A chat call for some tokens.
  HttpClientRequest Chat(const std::string& prompt,
                         bool stream,
                         int tokens = 8) const {
    return this->Outgoing(
        "POST", "/v1/chat/completions",
        R"({"model":"m","max_tokens":)" + std::to_string(tokens) +
            R"(,"stream":)" + (stream ? "true" : "false") +
            R"(,"messages":[{"role":"user","content":")" + prompt + R"("}]})");
  }

  // The text that a stand-in engine generates for such a call.
  static std::string ChatText(const std::string& prompt, int tokens = 8) {
    return fakes::AnswerText("user\n" + prompt + "\n", tokens);
  }

  // Something of the gateway, fetched on its task.
  template <typename T>
  T Ask(const std::function<T(Gateway&)>& question) {
    T answer{};
    this->task.Call([&] { answer = question(*this->gateway); });
    return answer;
  }

  Configuration configuration;  // changes count from the next Apply()
  SocketAddress address;
  Task task{"gateway"};
  BootClock clock;
  Metrics metrics;
  std::unique_ptr<Gateway> gateway;
  Caller caller;
  std::vector<UsageRecord> usage;  // read on the task only
  std::map<std::string, RequestId> claims;
  std::vector<std::function<void()>> held_claims;
  bool hold_claims = false;
  ClaimResult claim_answer = ClaimResult::kGranted;
  LimitDecision token_answer{.verdict = {.granted = true}};
  std::vector<std::function<void()>> held_token_answers;
  bool hold_tokens = false;
  int64_t charged_tokens = 0;  // taken and not given back
  int64_t cancelled_asks = 0;
  LimitRequest last_ask;

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
    return {
        .claim =
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
              this->last_ask = ask;
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
        .cancel_tokens = [this](const RequestId&) { ++this->cancelled_asks; },
        .return_tokens = [this](
                             const AccountId&, LimitUnit,
                             int64_t cost) { this->charged_tokens -= cost; }};
  }
};

}  // namespace hickorystand
